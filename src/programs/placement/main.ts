#!/usr/bin/env node
import { createSignalListener } from '../createSignalListener/index.js';

// The other modules take some tenths of a second to load, so that signals are handled first.
const signals = createSignalListener();
const [{ runDaemon }, { placementSettings }, { startPlacement }] = await Promise.all([
  import('../runDaemon.js'),
  import('./settings.js'),
  import('./startPlacement/index.js'),
]);

await runDaemon({
  program: 'bronzelanding-placement',
  description:
    'Places models and adapters on engines and rolls out bundles while it is the leader.',
  definitions: placementSettings,
  start: startPlacement,
  signals,
});
