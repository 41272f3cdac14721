#!/usr/bin/env node
import { runDaemon } from '../runDaemon.js';
import { entrySettings } from './settings.js';
import { startEntry } from './startEntry/index.js';

await runDaemon({
  program: 'bronzelanding-entry',
  description:
    "Receives callers' requests, enforces rate limits and routes requests to backend servers.",
  definitions: entrySettings,
  start: startEntry,
});
