import t from 'tap';
import { createPause } from '../../common/createPause.js';
import { createStoreOutage } from './index.js';

const { signal } = new AbortController();

const failCall = (task: string, mayWaitForOthers: boolean, askedAtMs = Infinity) => ({
  task,
  askedAtMs,
  mayWaitForOthers,
});

t.test('one task tries again for all of its host', (t) => {
  const outage = createStoreOutage();
  t.ok(outage.recordFailure(failCall('op/', true)));
  t.notOk(outage.recordFailure(failCall('fleet/', true)));
  t.ok(outage.recordFailure(failCall('op/', true)), 'its second try');
  outage.recordResponse();
  t.ok(outage.recordFailure(failCall('fleet/', true)), 'the next outage');
  t.end();
});

t.test('a task that does not wait for others tries for all', (t) => {
  const outage = createStoreOutage();
  t.ok(outage.recordFailure(failCall('op/', true)));
  t.ok(outage.recordFailure(failCall('servers/', false)));
  t.notOk(outage.recordFailure(failCall('op/', true)));
  t.end();
});

t.test('all tasks go on as soon as the store answers one of them', async (t) => {
  const outage = createStoreOutage();
  outage.recordFailure(failCall('servers/', false));
  outage.recordFailure(failCall('op/', true));
  let ended = 0;
  const waits = [Infinity, 60_000].map((milliseconds) =>
    outage.waitForEnd(createPause(), milliseconds, signal).then(() => {
      ended += 1;
    }),
  );
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.equal(ended, 0);
  outage.recordResponse();
  await Promise.all(waits);
});

t.test('another task tries when the first one has not been answered for long', async (t) => {
  const outage = createStoreOutage({ maximumWaitMs: 10 });
  outage.recordFailure(failCall('servers/', true));
  t.notOk(outage.recordFailure(failCall('op/', true)));
  await outage.waitForEnd(createPause(), Infinity, signal);
  t.ok(outage.recordFailure(failCall('op/', true)));
});

t.test('the return of the store is its first answer after failed calls', (t) => {
  let nowMs = 100;
  const outage = createStoreOutage({ clock: { monotonicMs: () => nowMs } });
  outage.recordResponse();
  t.equal(outage.getReturnedAtMs(), -Infinity);
  outage.recordFailure(failCall('servers/', false));
  nowMs = 900;
  outage.recordFailure(failCall('servers/', false));
  t.equal(outage.getFailingMs(), 800);
  outage.recordResponse();
  nowMs = 1200;
  outage.recordResponse();
  t.equal(outage.getFailingMs(), 0);
  t.equal(outage.getReturnedAtMs(), 900);
  t.end();
});

t.test('a call that was sent into the outage does not prolong it', (t) => {
  let nowMs = 100;
  const outage = createStoreOutage({ clock: { monotonicMs: () => nowMs } });
  outage.recordFailure(failCall('servers/', false, nowMs));
  nowMs = 900;
  outage.recordResponse();
  nowMs = 1500;
  outage.recordFailure(failCall('op/', true, 800));
  nowMs = 1600;
  t.equal(outage.getFailingMs(), 0);
  outage.recordResponse();
  t.equal(outage.getReturnedAtMs(), 900);
  t.end();
});
