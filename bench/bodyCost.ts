import { Agent } from 'undici';
import { startFleet, type Fleet } from '../tests/support/fleet.js';
import { sendCallerRequest } from '../tests/support/callers.js';
import { startProcess } from '../tests/support/processes.js';
import { waitUntil } from '../tests/support/waitUntil.js';
import { readProcessUsage } from './processUsage.js';

const CONNECTIONS = 16;
const ROUNDS = 9;
const WARM_UP_REQUESTS = 4000; // until the collector has adapted its limits
const REQUESTS = 1500; // a second of processor time, which the system counts in steps of 10 ms
const BODY_BYTES = [1000, 60_000];

/** Processor time of an entry host for requests with bodies of one size. */
export interface BodyCostRow {
  /** The checkout that was measured. */
  build: string;
  bodyBytes: number;
  /** Microseconds per request in each round; the builds take turns within a round. */
  cpuMicroseconds: number[];
}

interface MeasuredBuild {
  build: string;
  fleet: Fleet;
}

/** Sends a number of requests and returns the processor time of the entry host for each. */
async function measureRequests(
  { fleet }: MeasuredBuild,
  bodyBytes: number,
  count: number,
): Promise<number> {
  const { origin, process } = fleet.getEntry(0);
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
  const headers = { authorization: `Bearer ${fleet.keys.dryline ?? ''}` };
  const body = Buffer.alloc(bodyBytes, 'a');
  let left = count;
  const sendLoop = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const options = { origin, method: 'POST', path: '/lookup', headers, body } as const;
      const response = await agent.request(options);
      await response.body.dump();
      if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`);
    }
  };
  const before = readProcessUsage(process.pid);
  await Promise.all(Array.from({ length: CONNECTIONS }, sendLoop));
  const after = readProcessUsage(process.pid);
  await agent.destroy();
  return ((after.cpuSeconds - before.cpuSeconds) * 1_000_000) / count;
}

/** Starts an entry host of a build, whose requests go to a service that answers at once. */
async function startBuild(build: string, servicePort: number): Promise<MeasuredBuild> {
  const route = { service: 'fast', idempotent: true, open: false, class: 'interactive' } as const;
  const fleet = await startFleet({
    entries: 1,
    entryScript: build === '.' ? undefined : `../${build}/dist/programs/entry/main.js`,
    placements: 0,
    engines: 0,
    organisations: [{ name: 'dryline', rate: 50_000_000, burst: 100_000_000 }],
    bundle: {
      plainServices: ['fast'],
      routes: [{ method: 'POST', path: '/lookup', ...route, tokens: 1 }],
    },
  });
  fleet.platformStandin.setHost({
    id: 'fast',
    role: 'plain',
    address: '127.0.0.1',
    port: servicePort,
    dataCentre: 'one',
    service: 'fast',
    leaving: false,
  });
  const { origin } = fleet.getEntry(0);
  const request = { key: fleet.keys.dryline, body: {} };
  await waitUntil(
    'the fast service is listed',
    async () => (await sendCallerRequest(`${origin}/lookup`, request)).status === 200,
  );
  return { build, fleet };
}

/**
 * Measures the processor time of an entry host for requests with bodies. With the variable
 * BENCH_BASELINE, the path of another built checkout below this one, it measures both by turns.
 */
export async function measureBodyCost(): Promise<BodyCostRow[]> {
  const baseline = process.env.BENCH_BASELINE;
  const backend = startProcess('backend', '../dist-tools/bench/fastBackend.js', []);
  const { port } = await backend.waitForLine(({ msg }) => msg === 'listening');
  const builds: MeasuredBuild[] = [];
  try {
    for (const build of baseline === undefined ? ['.'] : [baseline, '.'])
      builds.push(await startBuild(build, Number(port)));
    const rows: BodyCostRow[] = [];
    for (const bodyBytes of BODY_BYTES) {
      const turns = builds.map((measured) => ({ measured, cpuMicroseconds: [] as number[] }));
      for (const { measured } of turns)
        await measureRequests(measured, bodyBytes, WARM_UP_REQUESTS);
      for (let round = 0; round < ROUNDS; round += 1)
        for (const { measured, cpuMicroseconds } of turns)
          cpuMicroseconds.push(await measureRequests(measured, bodyBytes, REQUESTS));
      for (const { measured, cpuMicroseconds } of turns)
        rows.push({ build: measured.build, bodyBytes, cpuMicroseconds });
    }
    return rows;
  } finally {
    for (const { fleet } of builds) await fleet.stop();
    backend.kill('SIGKILL');
  }
}
