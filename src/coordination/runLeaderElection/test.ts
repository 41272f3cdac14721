import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import {
  CallOutcome,
  createInProcessKeyValueService,
} from '../../standin/keyValueService/createInProcessKeyValueService.js';
import { createKeyValueStore } from '../../standin/keyValueService/createKeyValueStore.js';
import { runLeaderElection, type Leadership } from './index.js';

const silent = { info: () => undefined, warn: () => undefined, error: () => undefined };

function startCandidate(
  store: ReturnType<typeof createKeyValueStore>,
  clock: { nowMs: number },
  fates: CallOutcome[] = [],
) {
  const stop = new AbortController();
  const leads: Leadership[] = [];
  const done = runLeaderElection({
    service: createInProcessKeyValueService(store, () => fates.shift() ?? CallOutcome.answered),
    clock: { monotonicMs: () => clock.nowMs, wallMs: () => 0 },
    log: silent,
    key: 'leader',
    host: 'h',
    leaseSeconds: 0.2,
    runAsLeader: async (leadership, signal) => {
      leads.push(leadership);
      await new Promise((resolve) => signal.addEventListener('abort', resolve, { once: true }));
    },
    signal: stop.signal,
  });
  return { leads, stop: () => stop.abort(), done };
}

async function waitFor(holds: () => boolean): Promise<void> {
  while (!holds()) await wait(5);
}

t.test('lets one lead at a time and the next one after a release', async (t) => {
  const store = createKeyValueStore(() => 0);
  const one = startCandidate(store, { nowMs: 0 });
  await waitFor(() => one.leads.length === 1);
  const two = startCandidate(store, { nowMs: 0 });
  await wait(100);
  t.equal(two.leads.length, 0);
  one.stop();
  await one.done;
  await waitFor(() => two.leads.length === 1);
  two.stop();
  await two.done;
});

t.test(
  'does not hold the lead once its lease may have lapsed, though nobody said so',
  async (t) => {
    const store = createKeyValueStore(() => 0);
    const clock = { nowMs: 0 };
    const one = startCandidate(store, clock);
    await waitFor(() => one.leads.length === 1);
    t.ok(one.leads[0]?.isHeld());
    clock.nowMs = 200;
    t.notOk(one.leads[0]?.isHeld(), 'a paused process learns it from its own clock');
    one.stop();
    await one.done;
  },
);

t.test('knows its own lead again when the answer was lost', async (t) => {
  const store = createKeyValueStore(() => 0);
  const fates = [CallOutcome.answered, CallOutcome.answered, CallOutcome.responseLost];
  const one = startCandidate(store, { nowMs: 0 }, fates);
  await waitFor(() => one.leads.length === 1);
  t.ok(one.leads[0]?.isHeld());
  one.stop();
  await one.done;
});
