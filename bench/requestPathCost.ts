import { Agent } from 'undici';
import { computePercentiles } from '#dist/load/summariseRun/index.js';
import type { Percentiles } from '#dist/load/types.js';
import { startFleet, type Fleet } from '../tests/support/fleet.js';
import { sendCallerRequest } from '../tests/support/callers.js';
import { startProcess } from '../tests/support/processes.js';
import { waitUntil } from '../tests/support/waitUntil.js';
import { readProcessUsage } from './processUsage.js';

const CONNECTIONS = 32;
const WARM_UP_MS = 2000;
const MEASURE_MS = 5000;
const STREAMS = 60;
const TOKENS = 400;

/** Throughput and latency of one path to the backend server. */
export interface RequestPathRow {
  path: string;
  requestsPerSecond: number;
  latency: Percentiles;
  /** Microseconds of processor time per request. */
  cpuMicroseconds: number;
}

/** Cost of the request path through an entry host. */
export interface RequestPathCost {
  rows: RequestPathRow[];
  /** Throughput of the entry host relative to the pass-through. */
  throughputRatio: number;
  /** Microseconds of the entry host's processor time per token event of a stream. */
  microsecondsPerToken: number;
  /** Milliseconds that a loan adds at the 99th percentile. */
  loanAddedP99Ms: number;
}

async function sendLoop(
  agent: Agent,
  origin: string,
  key: string,
  endAtMs: number,
  latenciesMs: number[],
): Promise<void> {
  while (performance.now() < endAtMs) {
    const startedAt = performance.now();
    const { body, statusCode } = await agent.request({
      origin,
      method: 'GET',
      path: '/lookup',
      headers: { authorization: `Bearer ${key}` },
    });
    await body.dump();
    if (statusCode === 200) latenciesMs.push(performance.now() - startedAt);
  }
}

async function measurePath(
  path: string,
  origin: string,
  key: string,
  pid: number,
): Promise<RequestPathRow> {
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
  const run = async (milliseconds: number): Promise<number[]> => {
    const latenciesMs: number[] = [];
    const endAtMs = performance.now() + milliseconds;
    await Promise.all(
      Array.from({ length: CONNECTIONS }, () => sendLoop(agent, origin, key, endAtMs, latenciesMs)),
    );
    return latenciesMs;
  };
  await run(WARM_UP_MS);
  const before = readProcessUsage(pid);
  const latenciesMs = await run(MEASURE_MS);
  const after = readProcessUsage(pid);
  await agent.destroy();
  return {
    path,
    requestsPerSecond: (latenciesMs.length * 1000) / MEASURE_MS,
    latency: computePercentiles(latenciesMs),
    cpuMicroseconds: ((after.cpuSeconds - before.cpuSeconds) * 1_000_000) / latenciesMs.length,
  };
}

async function measureStreams(fleet: Fleet): Promise<number> {
  const entry = fleet.getEntry(0);
  const url = `${entry.origin}/v1/completions`;
  const key = fleet.keys.dryline;
  const before = readProcessUsage(entry.process.pid);
  const responses = await Promise.all(
    Array.from({ length: STREAMS }, (_unused, index) =>
      sendCallerRequest(url, {
        key,
        body: { model: 'oak', prompt: `stream ${index}`, max_tokens: TOKENS, stream: true },
      }),
    ),
  );
  const after = readProcessUsage(entry.process.pid);
  const completed = responses.filter(({ text }) => text.includes('[DONE]')).length;
  return ((after.cpuSeconds - before.cpuSeconds) * 1_000_000) / (completed * TOKENS);
}

/** Measures how much longer lookups take that need a loan than lookups that need none, one request at a time. */
async function measureLoans(): Promise<number> {
  const route = {
    service: 'certificates',
    idempotent: true,
    open: false,
    class: 'interactive',
  } as const;
  const fleet = await startFleet({
    entries: 8,
    engines: 0,
    placements: 0,
    organisations: [
      { name: 'roomy', rate: 1_000_000, burst: 4_000_000 },
      { name: 'tight', rate: 8000, burst: 64_000 },
    ],
    bundle: {
      routes: [
        { method: 'GET', path: '/cheap', ...route, tokens: 1 },
        { method: 'GET', path: '/dear', ...route, tokens: 100 },
      ],
    },
  });
  const measure = async (path: string, key: string | undefined, count: number): Promise<number> => {
    const latenciesMs: number[] = [];
    for (let index = 0; index < count; index += 1) {
      const startedAt = performance.now();
      const { status } = await sendCallerRequest(`${fleet.getEntry(0).origin}${path}`, { key });
      if (status === 200) latenciesMs.push(performance.now() - startedAt);
    }
    return computePercentiles(latenciesMs).p99;
  };
  try {
    await waitUntil('all entry hosts answer status requests', async () => {
      const statusResponses = await Promise.all(
        fleet.entries.map(({ operatorOrigin }) => fetch(`${operatorOrigin}/status`)),
      );
      return statusResponses.every(({ ok }) => ok);
    });
    await new Promise((resolve) => setTimeout(resolve, 9000));
    await measure('/cheap', fleet.keys.roomy, 200);
    const withoutLoan = await measure('/cheap', fleet.keys.roomy, 500);
    // These calls use up the host's eighth of the burst; later calls borrow nearly all of their tokens.
    await measure('/dear', fleet.keys.tight, 90);
    const withLoan = await measure('/dear', fleet.keys.tight, 400);
    return withLoan - withoutLoan;
  } finally {
    await fleet.stop();
  }
}

/** Measures the entry host against a bare pass-through, and the cost of streams and of loans. */
export async function measureRequestPathCost(): Promise<RequestPathCost> {
  const backend = startProcess('backend', '../dist-tools/bench/fastBackend.js', []);
  const { port } = await backend.waitForLine(({ msg }) => msg === 'listening');
  const backendOrigin = `http://127.0.0.1:${String(port)}`;
  const passThrough = startProcess('pass-through', '../dist-tools/bench/passThrough.js', [
    backendOrigin,
  ]);
  const passThroughLine = await passThrough.waitForLine(({ msg }) => msg === 'listening');
  const route = { service: 'fast', idempotent: true, open: false, class: 'interactive' } as const;
  const fleet = await startFleet({
    entries: 1,
    plainServers: 0,
    engineOptions: { tokenMs: 2, batchSize: 64, memoryBytes: 100 },
    organisations: [{ name: 'dryline', rate: 50_000_000, burst: 100_000_000 }],
    bundle: {
      plainServices: ['fast'],
      routes: [{ method: 'GET', path: '/lookup', ...route, tokens: 1 }],
    },
  });
  fleet.platformStandin.setHost({
    id: 'fast',
    role: 'plain',
    address: '127.0.0.1',
    port: Number(port),
    dataCentre: 'one',
    service: 'fast',
    leaving: false,
  });
  try {
    const key = fleet.keys.dryline ?? '';
    await fleet.waitUntilResident('oak');
    const entry = fleet.getEntry(0);
    await waitUntil(
      'the fast service is listed',
      async () => (await sendCallerRequest(`${entry.origin}/lookup`, { key })).status === 200,
    );
    const rows = [
      await measurePath(
        'pass-through',
        `http://127.0.0.1:${String(passThroughLine.port)}`,
        key,
        passThrough.pid,
      ),
      await measurePath('entry host', entry.origin, key, entry.process.pid),
    ];
    const [first, second] = rows;
    const microsecondsPerToken = await measureStreams(fleet);
    return {
      rows,
      throughputRatio: (second?.requestsPerSecond ?? 0) / (first?.requestsPerSecond ?? 1),
      microsecondsPerToken,
      loanAddedP99Ms: await measureLoans(),
    };
  } finally {
    await fleet.stop();
    backend.kill('SIGKILL');
    passThrough.kill('SIGKILL');
  }
}
