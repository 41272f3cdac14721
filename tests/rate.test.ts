import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import { computeLendableBurst } from '#dist/decisions/rate/convertTokens/index.js';
import { sendCallerRequest } from './support/callers.js';
import { startFleet, type TestEntryHost } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

const rate = 400;
const burst = 800;
const tokens = 20;
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
  organisations: [{ name: 'dryline', rate, burst }],
  bundle: { routes: [{ method: 'GET', path: '/lookup', ...route, deadlineMs: 10, tokens }] },
  entryFlags: ['--share-term-seconds', '4'],
});
t.teardown(() => fleet.stop());
t.setTimeout(100_000);
const key = fleet.keys.dryline;

interface AdmittedRequest {
  atMs: number;
}

/** Sends requests as fast as possible for a duration and returns the admitted ones. */
async function sendFlood(
  entries: readonly TestEntryHost[],
  durationMs: number,
): Promise<AdmittedRequest[]> {
  const admitted: AdmittedRequest[] = [];
  const endAtMs = performance.now() + durationMs;
  const sendUntilEnd = async (entry: TestEntryHost): Promise<void> => {
    while (performance.now() < endAtMs) {
      // A time taken before sending would widen the windows and make the check more lenient.
      const response = await sendCallerRequest(`${entry.origin}/lookup`, { key });
      if (response.status === 200) admitted.push({ atMs: performance.now() });
      else await wait(5);
    }
  };
  await Promise.all(
    entries.flatMap((entry) => [sendUntilEnd(entry), sendUntilEnd(entry), sendUntilEnd(entry)]),
  );
  return admitted;
}

/** Finds by how many tokens any window of admitted requests exceeds burst and rate. */
function findExcess(admitted: readonly AdmittedRequest[], slackMs: number): number {
  const times = admitted.map(({ atMs }) => atMs).sort((one, other) => one - other);
  let worstExcess = -Infinity;
  times.forEach((startMs, first) => {
    times.slice(first).forEach((endMs, count) => {
      const allowed = burst + (rate * (endMs - startMs + slackMs)) / 1000;
      worstExcess = Math.max(worstExcess, (count + 1) * tokens - allowed);
    });
  });
  return worstExcess;
}

/** Maximum time between admitting a request and the arrival of its response at the caller. */
const MAX_RESPONSE_DELAY_MS = 500;

t.test('enforces burst and rate over eight hosts when one host receives all traffic', async (t) => {
  const [first] = fleet.entries;
  const startedAtMs = performance.now();
  const admitted = await sendFlood(first === undefined ? [] : [first], 3000);
  const seconds = (performance.now() - startedAtMs) / 1000;
  t.ok(findExcess(admitted, MAX_RESPONSE_DELAY_MS) <= 0);
  // One host has an eighth of the rate by itself; more than a quarter requires loans from peers.
  t.ok(
    admitted.length * tokens > (rate / 4) * seconds,
    `${admitted.length * tokens} tokens in ${seconds} s`,
  );
});

t.test('enforces burst and rate when all hosts receive traffic at once', async (t) => {
  const admitted = await sendFlood(fleet.entries, 3000);
  t.ok(findExcess(admitted, MAX_RESPONSE_DELAY_MS) <= 0);
  t.ok(admitted.length > 0);
});

t.test(
  'enforces burst and rate when a host resumes after its lease expired and others acquired its slots',
  async (t) => {
    const [first, second, ...rest] = fleet.entries;
    if (first === undefined || second === undefined) throw new Error('expected eight hosts');
    const thirdEntry = rest[0];
    first.process.kill('SIGSTOP');
    await waitUntil(
      'the other hosts have all slots',
      async () => {
        const statuses = await Promise.all(
          [second, ...rest].map(async ({ operatorOrigin }) => {
            const { body } = { body: await (await fetch(`${operatorOrigin}/status`)).json() };
            return body as { host: string; hosts: { host: string; slots: number }[] };
          }),
        );
        const slots = statuses.map(
          ({ host, hosts }) => hosts.find((item) => item.host === host)?.slots ?? 0,
        );
        return slots.reduce((sum, count) => sum + count, 0) === 64;
      },
      60_000,
    );
    const otherHostsFlood = sendFlood([second, ...rest], 2500);
    first.process.kill('SIGCONT');
    const [admitted, admittedAfterPause] = await Promise.all([
      otherHostsFlood,
      sendFlood([first], 2500),
    ]);
    t.ok(findExcess([...admitted, ...admittedAfterPause], MAX_RESPONSE_DELAY_MS) <= 0);
    t.ok(thirdEntry !== undefined);
  },
);

t.test('lends less than the burst and refuses an unknown key', async (t) => {
  t.ok(computeLendableBurst(rate, burst) < burst);
  const body = await sendCallerRequest(`${fleet.entries[1]?.origin ?? ''}/lookup`, {
    key: 'nobody',
  });
  t.equal(body.status, 401);
});
