import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { request as sendRequest } from 'undici';
import { systemClock } from '#dist/adapters/clock/index.js';
import {
  createConcurrencyLimits,
  MAX_LIMIT_AGE_MS,
} from '#dist/serving/createConcurrencyLimits/index.js';
import { createHostQueue } from '#dist/serving/createHostQueue/index.js';
import { buildConfiguration, sendToHost, startPlatformFleet } from './support/platformFleet.js';
import { waitUntil } from './support/waitUntil.js';

const STREAM_MS = 600;
const { routes } = buildConfiguration(2) as { routes: Record<string, unknown>[] };
const CHAT = { ...routes[0], target_latency_ms: 2000, gap_target_ms: 500, timeout_ms: 6000 };
const CONFIGURATION = buildConfiguration(2, { routes: [CHAT, ...routes.slice(1)] });
const HEADERS = { 'deadline-ms': '6000' };

/** Starts a host and an engine that runs one stream at once, and waits until the host knows the limit. */
async function startQueueFleet(t: Test, hostQueueLength: number) {
  const fleet = await startPlatformFleet(1, [], {
    load: { concurrencyLateShare: 0.1, hostQueueLength },
  });
  t.teardown(fleet.close);
  fleet.store.put('op/config', CONFIGURATION);
  const engine = await fleet.addEngine({
    id: 'e1',
    models: { oak: [] },
    events: 20,
    eventIntervalMs: STREAM_MS / 20,
  });
  fleet.store.put('servers/e1', engine.buildRegistration({ slots: 1 }));
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  const readMetrics = async (): Promise<string> => {
    const response = await sendRequest(`http://127.0.0.1:${host.metricsPort}/metrics`);
    return response.body.text();
  };
  await waitUntil('the limit is known', async () =>
    (await readMetrics()).includes('concurrency_limit_requests{server="e1"} 1\n'),
  );
  const waitForQueue = (count: number): Promise<void> =>
    waitUntil('requests wait', async () =>
      (await readMetrics()).includes(`bronzelanding_queued_requests ${count}\n`),
    );
  const send = (id: string) => sendToHost(host, '/chat/1', { id, headers: HEADERS });
  return { fleet, host, engine, send, readMetrics, waitForQueue };
}

t.test('streams run one after the other, those that would be late are refused', async (t) => {
  const { engine, send, readMetrics } = await startQueueFleet(t, 8);
  const responses = await Promise.all(['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(send));
  const served = responses.filter(({ status }) => status === 200);
  t.ok(served.length >= 2 && served.length <= 5, `${served.length} served`);
  t.ok(responses.every(({ status, isComplete }) => isComplete && [200, 503].includes(status)));
  t.equal(engine.executedRequests.length, served.length, 'what was refused has not run');
  const times = engine.executedRequests.map(({ atMs }) => atMs);
  const gaps = times.slice(1).map((atMs, index) => atMs - (times[index] ?? 0));
  t.ok(
    gaps.every((gapMs) => gapMs > STREAM_MS / 2),
    { gaps },
  );
  t.match(await readMetrics(), /bronzelanding_queue_seconds_count\{route="[^"]+"\} [1-9]/);
});

t.test('a caller that leaves its place is not sent to the engine', async (t) => {
  const { host, engine, send, waitForQueue } = await startQueueFleet(t, 8);
  const first = send('first');
  await waitUntil('the first one runs', () => engine.executedRequests.length === 1);
  const caller = new AbortController();
  const left = sendRequest(`http://127.0.0.1:${host.callerPort}/chat/1`, {
    method: 'POST',
    headers: {
      host: 'depots.example',
      authorization: 'Bearer key-of-depots',
      'request-id': 'left',
      accept: 'text/event-stream',
      model: 'oak',
      'token-count': '100,20',
      ...HEADERS,
    },
    signal: caller.signal,
  }).catch(() => undefined);
  await waitForQueue(1);
  caller.abort();
  await left;
  await waitForQueue(0);
  const last = send('last');
  t.equal((await first).status, 200);
  t.equal((await last).status, 200);
  t.same(
    engine.receivedRequests.map(({ id }) => id),
    ['first', 'last'],
  );
});

t.test('a host that stops serves or refuses what waits', async (t) => {
  const { fleet, host, engine, send, waitForQueue } = await startQueueFleet(t, 8);
  const first = send('first');
  await waitUntil('the first one runs', () => engine.executedRequests.length === 1);
  const queued = send('queued');
  await waitForQueue(1);
  fleet.hosts.splice(0);
  const stopped = host.stop();
  const responses = await Promise.all([first, queued]);
  await stopped;
  t.ok(responses.every(({ isComplete }) => isComplete));
  t.equal(responses[0].status, 200);
  const executed = engine.executedRequests.length;
  t.equal(executed, responses[1].status === 200 ? 2 : 1, 'a refusal has not run');
});

// Guards against requests that wait for a limit of a leader that has failed.
t.test('a request is released when the limits have become too old', async (t) => {
  const limits = createConcurrencyLimits({
    clock: systemClock,
    lateShare: 0.1,
    getTokensPerEvent: () => 1,
    random: () => 0,
  });
  const queue = createHostQueue({ clock: systemClock, maximumLength: 4 });
  limits.onChange(queue.wake);
  limits.applyView({ limits: { e1: [1, 1000] }, held: {}, ownHeld: {} });
  const isReady = (): boolean => limits.getLimit('e1') === undefined;
  const dueAtMs = systemClock.monotonicMs() + 3 * MAX_LIMIT_AGE_MS;
  const { signal } = new AbortController();
  const released = queue.wait({ key: 'k', priority: 1, dueAtMs }, isReady, signal);
  await wait(MAX_LIMIT_AGE_MS / 2);
  t.equal(queue.count(), 1);
  t.equal(await released, 'released');
});
