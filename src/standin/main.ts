#!/usr/bin/env node
import yargs from 'yargs';
import { createSignalListener } from '../programs/createSignalListener/index.js';
import { openEngineStandin } from './engine/index.js';
import type { StandinServer } from './http.js';
import { openKeyValueStandin } from './keyValueService/index.js';
import { openPlainStandin } from './plainService/index.js';
import { openPlatformStandin } from './platform/index.js';

const DEFAULT_MEMORY_BYTES = 80_000_000_000;
const signals = createSignalListener();

/** Prints the port of a stand-in and closes it when the process is told to stop. */
function serveUntilStopped(server: StandinServer): void {
  process.stdout.write(`${JSON.stringify({ msg: 'listening', port: server.port })}\n`);
  signals.setStop(() => void server.close().then(() => process.exit(0)));
}

const port = { type: 'number', default: 0, describe: 'Port; 0 picks a free port' } as const;

await yargs(process.argv.slice(2))
  .scriptName('bronzelanding-standin')
  .usage('$0 <role>\n\nStand-ins of the platform and its backend servers, for development only.')
  .command(
    'key-value-service',
    'Key-value service (etcd v3 JSON gateway)',
    { port },
    async (flags) => serveUntilStopped(await openKeyValueStandin(flags.port)),
  )
  .command(
    'platform',
    'Host list and weight store',
    {
      port,
      'list-lag-ms': { type: 'number', default: 0 },
      'loads-per-second': { type: 'number', default: 2 },
      'loads-at-once': { type: 'number', default: 3 },
      'model-load-ms': { type: 'number', default: 200 },
      'adapters-in-flight': { type: 'number', default: 24 },
    },
    async (flags) =>
      serveUntilStopped(
        await openPlatformStandin(
          {
            listLagMs: flags.listLagMs,
            loadsPerSecond: flags.loadsPerSecond,
            loadsAtOnce: flags.loadsAtOnce,
            modelLoadMs: flags.modelLoadMs,
            adaptersInFlight: flags.adaptersInFlight,
          },
          flags.port,
        ),
      ),
  )
  .command(
    'engine',
    'Model engine',
    {
      port,
      id: { type: 'string', demandOption: true },
      'memory-bytes': { type: 'number', default: DEFAULT_MEMORY_BYTES },
      'checks-fencing': { type: 'boolean', default: true },
      'report-lag-ms': { type: 'number', default: 100 },
      'weight-store': { type: 'string' },
      'token-ms': { type: 'number', default: 2 },
      'prompt-ms': { type: 'number', default: 5 },
      'batch-size': { type: 'number', default: 16 },
    },
    async (flags) => serveUntilStopped(await openEngineStandin(flags)),
  )
  .command(
    'plain-service',
    'Plain service that counts each run',
    { port, id: { type: 'string', demandOption: true } },
    async (flags) => serveUntilStopped(await openPlainStandin(flags.id, flags.port)),
  )
  .demandCommand(1)
  .strict()
  .help()
  .version(false)
  .parse();
