#!/usr/bin/env node
import { runDaemon } from '../runDaemon.js';
import { placementSettings } from './settings.js';
import { startPlacement } from './startPlacement/index.js';

await runDaemon({
  program: 'bronzelanding-placement',
  description: 'Places models and adapters on engines and rolls bundles, while it holds the lead.',
  definitions: placementSettings,
  start: startPlacement,
});
