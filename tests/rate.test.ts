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

interface Admitted {
  atMs: number;
}

/** Sends calls as fast as they are answered until the time is over, and returns the admitted ones. */
async function sendFlood(
  entries: readonly TestEntryHost[],
  durationMs: number,
): Promise<Admitted[]> {
  const admitted: Admitted[] = [];
  const endAtMs = performance.now() + durationMs;
  const run = async (entry: TestEntryHost): Promise<void> => {
    while (performance.now() < endAtMs) {
      // The moment before sending opens the widest window, which is the lenient side for the lower figure only.
      const answer = await sendCallerRequest(`${entry.origin}/lookup`, { key });
      if (answer.status === 200) admitted.push({ atMs: performance.now() });
      else await wait(5);
    }
  };
  await Promise.all(entries.flatMap((entry) => [run(entry), run(entry), run(entry)]));
  return admitted;
}

/** Finds how far the admitted calls of any window are above burst and rate, in tokens. */
function findExcess(admitted: readonly Admitted[], slackMs: number): number {
  const times = admitted.map(({ atMs }) => atMs).sort((one, other) => one - other);
  let worst = -Infinity;
  times.forEach((startMs, first) => {
    times.slice(first).forEach((endMs, count) => {
      const allowed = burst + (rate * (endMs - startMs + slackMs)) / 1000;
      worst = Math.max(worst, (count + 1) * tokens - allowed);
    });
  });
  return worst;
}

/** Answers arrive at their callers this much later than they were admitted, at most. */
const ANSWER_DELAY_MS = 500;

t.test('keeps burst and rate over eight hosts when all traffic comes to one', async (t) => {
  const [first] = fleet.entries;
  const startedAtMs = performance.now();
  const admitted = await sendFlood(first === undefined ? [] : [first], 3000);
  const seconds = (performance.now() - startedAtMs) / 1000;
  t.ok(findExcess(admitted, ANSWER_DELAY_MS) <= 0);
  // One host alone holds an eighth: anything above a quarter of the rate came from its peers.
  t.ok(
    admitted.length * tokens > (rate / 4) * seconds,
    `${admitted.length * tokens} tokens in ${seconds} s`,
  );
});

t.test('keeps them when traffic comes to all hosts at once', async (t) => {
  const admitted = await sendFlood(fleet.entries, 3000);
  t.ok(findExcess(admitted, ANSWER_DELAY_MS) <= 0);
  t.ok(admitted.length > 0);
});

t.test(
  'keeps them when a host is frozen past its term and goes on, and others took its slots',
  async (t) => {
    const [first, second, ...rest] = fleet.entries;
    if (first === undefined || second === undefined) throw new Error('eight hosts are expected');
    const taken = rest[0];
    first.process.kill('SIGSTOP');
    await waitUntil(
      'the others hold all slots',
      async () => {
        const answers = await Promise.all(
          [second, ...rest].map(async ({ operatorOrigin }) => {
            const { body } = { body: await (await fetch(`${operatorOrigin}/status`)).json() };
            return body as { host: string; hosts: { host: string; slots: number }[] };
          }),
        );
        const slots = answers.map(
          ({ host, hosts }) => hosts.find((item) => item.host === host)?.slots ?? 0,
        );
        return slots.reduce((sum, count) => sum + count, 0) === 64;
      },
      60_000,
    );
    const flooding = sendFlood([second, ...rest], 2500);
    first.process.kill('SIGCONT');
    const [admitted, resumed] = await Promise.all([flooding, sendFlood([first], 2500)]);
    t.ok(findExcess([...admitted, ...resumed], ANSWER_DELAY_MS) <= 0);
    t.ok(taken !== undefined);
  },
);

t.test('never lends what the bundle does not allow at once', async (t) => {
  t.ok(computeLendableBurst(rate, burst) < burst);
  const body = await sendCallerRequest(`${fleet.entries[1]?.origin ?? ''}/lookup`, {
    key: 'nobody',
  });
  t.equal(body.status, 401);
});
