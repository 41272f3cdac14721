#!/usr/bin/env node
import { createSignalListener } from '../createSignalListener/index.js';

// The other modules take some tenths of a second to load, so that signals are handled first.
const signals = createSignalListener();
const [{ runDaemon }, { entrySettings }, { startEntry }] = await Promise.all([
  import('../runDaemon.js'),
  import('./settings.js'),
  import('./startEntry/index.js'),
]);

await runDaemon({
  program: 'bronzelanding-entry',
  description:
    "Receives callers' requests, enforces rate limits and routes requests to backend servers.",
  definitions: entrySettings,
  start: startEntry,
  signals,
});
