#!/usr/bin/env node
import { readFile, writeFile } from 'node:fs/promises';
import { isLeft } from 'fp-ts/lib/Either.js';
import yargs from 'yargs';
import { checkBundle } from '../decisions/bundle/checkBundle/index.js';
import type { Bundle } from '../decisions/bundle/types.js';
import { createTrace, type TraceTarget } from './createTrace/index.js';
import { renderPage, renderText } from './renderReport/index.js';
import { runTrace } from './runTrace/index.js';
import { summariseRun } from './summariseRun/index.js';
import { LoadKind, type TraceEntry } from './types.js';

const INVALID_INPUT_EXIT_CODE = 2;
const PROGRESS_INTERVAL_REQUESTS = 500;

function listTargets(bundle: Bundle): TraceTarget[] {
  const models = bundle.models.map((model, index) => ({
    name: model.name,
    kind: index % 2 === 0 ? LoadKind.stream : LoadKind.completion,
    class: model.class,
  }));
  const routes = bundle.routes
    .filter(({ open }) => !open)
    .map(({ path, method, idempotent, class: routeClass }) => ({
      name: path.replace('*', 'example'),
      kind: idempotent || method === 'GET' ? LoadKind.lookup : LoadKind.keyed,
      class: routeClass,
    }))
    .filter(({ kind, name }) => kind === LoadKind.keyed || name.includes('example'));
  return [...models, ...routes];
}

async function readBundle(file: string): Promise<Bundle> {
  const result = checkBundle(await readFile(file, 'utf8'));
  if (!isLeft(result)) return result.right;
  process.stderr.write(
    `bronzelanding-load: bundle ${file} is invalid: ${result.left.length} findings\n`,
  );
  process.exit(INVALID_INPUT_EXIT_CODE);
}

const flags = await yargs(process.argv.slice(2))
  .scriptName('bronzelanding-load')
  .usage(
    '$0 --bundle FILE --target ORIGIN...\n\nSends seeded open-loop load and reports the results.',
  )
  .options({
    bundle: {
      type: 'string',
      demandOption: true,
      describe: 'Bundle whose models and routes are called',
    },
    target: { type: 'string', array: true, demandOption: true, describe: 'Origins of entry hosts' },
    keys: {
      type: 'string',
      demandOption: true,
      describe: 'API keys by organisation as JSON, or @FILE',
    },
    seed: { type: 'number', default: 1, describe: 'Seed of the trace' },
    seconds: { type: 'number', default: 10, describe: 'Duration of the trace in seconds' },
    'requests-per-second': { type: 'number', default: 50, describe: 'Mean arrival rate' },
    'organisation-skew': {
      type: 'number',
      default: 1,
      describe: 'Zipf exponent of the load by organisation; 0 is uniform',
    },
    'host-skew': {
      type: 'number',
      default: 0,
      describe: 'Zipf exponent of the load by host; 0 is uniform',
    },
    moves: {
      type: 'number',
      default: 1,
      describe: 'Number of tenfold shifts of demand between targets',
    },
    trace: { type: 'string', describe: 'Replay this recorded trace instead of generating one' },
    record: { type: 'string', describe: 'Record the trace to this file' },
    json: { type: 'string', describe: 'Write the report as JSON to this file' },
    page: { type: 'string', describe: 'Write the report as an HTML page to this file' },
  })
  .example('$0 --bundle examples/dryline.yaml --target http://10.0.0.3:8080 --keys @keys.json', '')
  .strict()
  .help()
  .version(false)
  .parse();

const bundle = await readBundle(flags.bundle);
const keysText = flags.keys.startsWith('@')
  ? await readFile(flags.keys.slice(1), 'utf8')
  : flags.keys;
const keys = JSON.parse(keysText) as Record<string, string>;
const trace =
  flags.trace === undefined
    ? createTrace({
        ...flags,
        targets: listTargets(bundle),
        organisations: Object.keys(keys),
        hosts: flags.target.length,
      })
    : (JSON.parse(await readFile(flags.trace, 'utf8')) as TraceEntry[]);
if (flags.record !== undefined) await writeFile(flags.record, JSON.stringify(trace));
const results = await runTrace(trace, {
  origins: flags.target,
  keys,
  runId: `load-${Date.now()}`,
  onResult: (_result, done) => {
    if (done % PROGRESS_INTERVAL_REQUESTS === 0)
      process.stderr.write(`${done} of ${trace.length} requests ended\n`);
  },
});
const report = summariseRun(results, flags.seconds);
process.stdout.write(`${renderText(report)}\n`);
if (flags.json !== undefined) await writeFile(flags.json, JSON.stringify(report, undefined, 2));
if (flags.page !== undefined) await writeFile(flags.page, renderPage(report));
