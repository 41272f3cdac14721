// Starts a fleet with stand-ins and shows that no request is lost or run twice during rollouts, a key withdrawal, a
// crash and a planned stop.
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { Agent } from 'undici';
import { stringify } from 'yaml';
import { hashKey } from '#dist/decisions/keys/hashKey/index.js';
import type { Bundle } from '#dist/decisions/bundle/types.js';
import { createTrace } from '#dist/load/createTrace/index.js';
import { createOperator } from '../tests/support/operators.js';
import { runProgram } from '../tests/support/processes.js';
import { waitUntil } from '../tests/support/waitUntil.js';
import { sendWithRetries, startLoadBalancer, type RequestHistory } from './callers.js';
import { startDemoFleet, type DemoFleet } from './startDemoFleet.js';

const TRAFFIC_SECONDS = 16;
const REQUESTS_PER_SECOND = 60;
const GIGABYTE = 1_000_000_000;
const STOP_TIMEOUT_MS = 20_000;
const organisations = ['depots', 'gate-buyers', 'inspectors', 'leaver'];
const keys = Object.fromEntries(organisations.map((name) => [name, `demo-key-${name}`]));

function buildBundle(version: number): Bundle {
  const models = ['oak', 'pine', 'iroko', 'teak'].map((name, index) => ({
    name,
    version: `v${version}`,
    service: 'moisture',
    bytes: 20 * GIGABYTE,
    replicas: index === 0 ? 2 : 1,
    class: (['interactive', 'standard', 'batch', 'standard'] as const)[index] ?? 'standard',
  }));
  const route = { service: 'certificates', open: false, class: 'standard', tokens: 1 } as const;
  return {
    version,
    services: [{ name: 'moisture', engines: 4, memoryBytes: 80 * GIGABYTE, window: 16 }],
    models,
    adapters: models.map(({ name }) => ({
      name: `${name}-depot`,
      version: `v${version}`,
      model: name,
      bytes: GIGABYTE,
    })),
    plainServices: ['certificates'],
    routes: [
      { method: 'POST', path: '/certificates', idempotent: false, ...route },
      { method: 'GET', path: '/certificates/*', idempotent: true, ...route },
    ],
    organisations: organisations.map((name) => ({
      name,
      rate: 200_000,
      burst: 400_000,
      keys: [hashKey(keys[name] ?? '')],
    })),
    limits: { loadsPerSecond: 20, loadsAtOnce: 4, adaptersInFlight: 24 },
  };
}

function printLine(text: string): void {
  process.stdout.write(
    `${((performance.now() - startedAt) / 1000).toFixed(1).padStart(5)} s  ${text}\n`,
  );
}

async function runOperator(...args: string[]): Promise<void> {
  const { code, stdout, stderr } = await runProgram('programs/operator/main.js', args);
  printLine(`bronzelanding ${args[0] ?? ''}: ${(stdout || stderr).trim().split('\n')[0] ?? ''}`);
  if (code !== 0) throw new Error(`bronzelanding ${args.join(' ')} exited with ${code}: ${stderr}`);
}

async function rollOut(
  folder: string,
  version: number,
  fleet: DemoFleet,
  privateKey: string,
  keySet: string,
): Promise<void> {
  const file = join(folder, `v${version}.yaml`);
  const signed = join(folder, `v${version}.jws`);
  await writeFile(file, stringify(buildBundle(version)));
  await runOperator('check', file);
  await runOperator('sign', file, '--operator-key', privateKey, '--out', signed);
  await runOperator(
    'accept',
    signed,
    '--key-value-service',
    fleet.keyValueService,
    '--operator-keys',
    keySet,
  );
}

async function waitUntilPlaced(fleet: DemoFleet, version: string): Promise<void> {
  await waitUntil(`${version} is resident`, async () => {
    const response = await fetch(`${fleet.entries[0]?.operatorOrigin ?? ''}/status`);
    const { residency } = (await response.json()) as {
      residency: Record<string, { version: string; state: string }[]>;
    };
    return ['oak', 'pine', 'iroko', 'teak'].every((name) =>
      [name, `${name}-depot`].every((item) =>
        (residency[item] ?? []).some(
          (replica) => replica.version === version && replica.state === 'resident',
        ),
      ),
    );
  });
}

async function readStats<T>(origin: string): Promise<T> {
  return (await (await fetch(`${origin}/control/stats`)).json()) as T;
}

async function summariseHistories(
  histories: readonly RequestHistory[],
  fleet: DemoFleet,
): Promise<string> {
  const engines = await Promise.all(
    fleet.engines.map((origin) =>
      readStats<{ overcommits: number; runs: Record<string, number> }>(origin),
    ),
  );
  const plainStats = await Promise.all(
    fleet.plainServers.map((origin) =>
      readStats<{ runs: Record<string, number>; runsByRequest: Record<string, number> }>(origin),
    ),
  );
  const sum = (records: readonly Record<string, number>[], id: string): number =>
    records.reduce((total, record) => total + (record[id] ?? 0), 0);
  const counted = histories.filter(({ attempts }) => attempts.at(-1)?.status !== 401);
  const runs = plainStats.map((stats) => stats.runs);
  const byRequest = [
    ...plainStats.map(({ runsByRequest }) => runsByRequest),
    ...engines.map((stats) => stats.runs),
  ];
  const whole = counted.filter(({ isWhole }) => isWhole).length;
  const executedTwice = counted.filter(
    ({ id, entry }) => entry.kind === 'keyed' && sum(runs, id) > 1,
  ).length;
  const untrue = histories
    .flatMap(({ attempts }) => attempts)
    .filter(
      ({ requestId, outcome }) => outcome === 'not-run' && sum(byRequest, requestId) > 0,
    ).length;
  const overcommits = engines.reduce((total, stats) => total + stats.overcommits, 0);
  const lost = counted.length - whole;
  if (lost + executedTwice + untrue + overcommits > 0) process.exitCode = 1;
  for (const history of counted)
    if (!history.isWhole) printLine(`lost: ${JSON.stringify(history)}`);
  return (
    `demo: ${counted.length} requests, ${whole} whole, ${lost} lost, ${executedTwice} doubled, ` +
    `${untrue} untrue refusals, ${overcommits} overcommits`
  );
}

async function runTraffic(
  fleet: DemoFleet,
  events: readonly { atMs: number; run: () => Promise<void> }[],
): Promise<RequestHistory[]> {
  const targets = [
    ...['oak', 'pine', 'iroko', 'teak'].map((name) => ({
      name,
      kind: 'stream' as const,
      class: 'standard' as const,
    })),
    ...['oak-depot', 'iroko-depot'].map((name) => ({
      name,
      kind: 'completion' as const,
      class: 'batch' as const,
    })),
    { name: '/certificates/example', kind: 'lookup' as const, class: 'interactive' as const },
    { name: '/certificates', kind: 'keyed' as const, class: 'standard' as const },
  ];
  const trace = createTrace({
    seed: 5,
    seconds: TRAFFIC_SECONDS,
    requestsPerSecond: REQUESTS_PER_SECOND,
    targets,
    organisations,
    hosts: fleet.entries.length,
    moves: 1,
  });
  const balancer = startLoadBalancer(fleet.entries);
  const dispatcher = new Agent({ pipelining: 1 });
  const trafficStartMs = performance.now();
  const scheduledEvents = events.map(async ({ atMs, run }) => {
    await wait(atMs);
    await run();
  });
  const pending: Promise<RequestHistory>[] = [];
  for (const [index, entry] of trace.entries()) {
    const delayMs = trafficStartMs + entry.atMs - performance.now();
    if (delayMs > 0) await wait(delayMs);
    pending.push(
      sendWithRetries(
        entry,
        `demo-${index}`,
        keys[entry.organisation] ?? '',
        balancer,
        fleet.plainServers,
        dispatcher,
      ),
    );
  }
  await Promise.all(scheduledEvents);
  const histories = await Promise.all(pending);
  balancer.stop();
  await dispatcher.close();
  return histories;
}

const startedAt = performance.now();
const folder = await mkdtemp(join(tmpdir(), 'bronzelanding-demo-'));
const operator = await createOperator('demo-operator');
const privateKey = JSON.stringify(operator.privateKey);
const keySet = JSON.stringify(operator.keySet);
const fleet = await startDemoFleet(keySet);
printLine('started stand-ins, 4 entry hosts in 2 data centres and 2 placement processes');
let lastLine = '';
try {
  await rollOut(folder, 1, fleet, privateKey, keySet);
  await waitUntilPlaced(fleet, 'v1');
  printLine(
    'version 1 is placed; starting traffic: streams, batch completions, lookups, keyed requests',
  );
  const [, second, third, fourth] = fleet.entries;
  const histories = await runTraffic(fleet, [
    { atMs: 2000, run: () => rollOut(folder, 2, fleet, privateKey, keySet) },
    {
      atMs: 5000,
      run: () =>
        runOperator(
          'withdraw',
          ...[
            '--key',
            keys.leaver ?? '',
            '--entry',
            second?.operatorOrigin ?? '',
            '--operator-key',
            privateKey,
          ],
          ...['--key-value-service', fleet.keyValueService, '--operator-keys', keySet],
        ),
    },
    {
      atMs: 8000,
      run: () => {
        third?.process.kill('SIGKILL');
        printLine('sent SIGKILL to entry-3');
        return Promise.resolve();
      },
    },
    {
      atMs: 11_000,
      run: async () => {
        fourth?.process.kill('SIGTERM');
        printLine('sent SIGTERM to entry-4');
        printLine(`entry-4 exited with ${String(await fourth?.process.exited)}`);
      },
    },
  ]);
  await waitUntilPlaced(fleet, 'v2');
  printLine('version 2 is placed');
  lastLine = await summariseHistories(histories, fleet);
} catch (error) {
  printLine(`demo failed: ${String(error)}`);
  process.exitCode = 1;
} finally {
  for (const process of fleet.processes) process.kill('SIGTERM');
  const ends = Promise.all(fleet.processes.map(({ exited }) => exited));
  await Promise.race([ends, wait(STOP_TIMEOUT_MS, undefined, { ref: false })]);
  for (const process of fleet.processes) process.kill('SIGKILL');
  await ends;
  await rm(folder, { recursive: true });
}
process.stdout.write(`${lastLine}\n`);
