#!/usr/bin/env node
import { runDaemon } from '../runDaemon.js';
import { placementSettings } from './settings.js';
import { startPlacement } from './startPlacement/index.js';

await runDaemon({
  program: 'bronzelanding-placement',
  description:
    'Places models and adapters on engines and rolls out bundles while it is the leader.',
  definitions: placementSettings,
  start: startPlacement,
});
