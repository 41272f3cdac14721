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
  callOutcomes: CallOutcome[] = [],
) {
  const stop = new AbortController();
  const leaderships: Leadership[] = [];
  const done = runLeaderElection({
    service: createInProcessKeyValueService(
      store,
      () => callOutcomes.shift() ?? CallOutcome.answered,
    ),
    clock: { monotonicMs: () => clock.nowMs, wallMs: () => 0 },
    log: silent,
    key: 'leader',
    host: 'h',
    leaseSeconds: 0.2,
    runAsLeader: async (leadership, signal) => {
      leaderships.push(leadership);
      await new Promise((resolve) => signal.addEventListener('abort', resolve, { once: true }));
    },
    signal: stop.signal,
  });
  return { leaderships, stop: () => stop.abort(), done };
}

async function waitFor(isMet: () => boolean): Promise<void> {
  while (!isMet()) await wait(5);
}

t.test('elects one leader at a time and the next one after a release', async (t) => {
  const store = createKeyValueStore(() => 0);
  const first = startCandidate(store, { nowMs: 0 });
  await waitFor(() => first.leaderships.length === 1);
  const second = startCandidate(store, { nowMs: 0 });
  await wait(100);
  t.equal(second.leaderships.length, 0);
  first.stop();
  await first.done;
  await waitFor(() => second.leaderships.length === 1);
  second.stop();
  await second.done;
});

t.test(
  'stops holding leadership once the lease may have expired, without a failed renewal',
  async (t) => {
    const store = createKeyValueStore(() => 0);
    const clock = { nowMs: 0 };
    const first = startCandidate(store, clock);
    await waitFor(() => first.leaderships.length === 1);
    t.ok(first.leaderships[0]?.isHeld());
    clock.nowMs = 200;
    t.notOk(first.leaderships[0]?.isHeld(), 'a paused process detects the expiry by its own clock');
    first.stop();
    await first.done;
  },
);

t.test('recognises its own leadership when the response to the write was lost', async (t) => {
  const store = createKeyValueStore(() => 0);
  const callOutcomes = [CallOutcome.answered, CallOutcome.answered, CallOutcome.responseLost];
  const first = startCandidate(store, { nowMs: 0 }, callOutcomes);
  await waitFor(() => first.leaderships.length === 1);
  t.ok(first.leaderships[0]?.isHeld());
  first.stop();
  await first.done;
});
