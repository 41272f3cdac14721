#!/usr/bin/env node
import { runDaemon } from '../runDaemon.js';
import { entrySettings } from './settings.js';
import { startEntry } from './startEntry/index.js';

await runDaemon({
  program: 'bronzelanding-entry',
  description: "Takes callers' requests, admits them within their rates and routes them.",
  definitions: entrySettings,
  start: startEntry,
});
