import t from 'tap';
import { createPause } from '../../common/createPause.js';
import { createStoreOutage } from './index.js';

const { signal } = new AbortController();

t.test('one task tries again for all of its host', (t) => {
  const outage = createStoreOutage();
  t.ok(outage.recordFailure('op/', true));
  t.notOk(outage.recordFailure('fleet/', true));
  t.ok(outage.recordFailure('op/', true), 'its second try');
  outage.recordResponse();
  t.ok(outage.recordFailure('fleet/', true), 'the next outage');
  t.end();
});

t.test('a task that does not wait for others tries for all', (t) => {
  const outage = createStoreOutage();
  t.ok(outage.recordFailure('op/', true));
  t.ok(outage.recordFailure('servers/', false));
  t.notOk(outage.recordFailure('op/', true));
  t.end();
});

t.test('all tasks go on as soon as the store answers one of them', async (t) => {
  const outage = createStoreOutage();
  outage.recordFailure('servers/', false);
  outage.recordFailure('op/', true);
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
  outage.recordFailure('servers/', true);
  t.notOk(outage.recordFailure('op/', true));
  await outage.waitForEnd(createPause(), Infinity, signal);
  t.ok(outage.recordFailure('op/', true));
});

t.test('the return of the store is its first answer after failed calls', (t) => {
  let nowMs = 100;
  const outage = createStoreOutage({ clock: { monotonicMs: () => nowMs } });
  outage.recordResponse();
  t.equal(outage.getReturnedAtMs(), -Infinity);
  outage.recordFailure('servers/', false);
  t.ok(outage.isFailing());
  nowMs = 900;
  outage.recordResponse();
  nowMs = 1200;
  outage.recordResponse();
  t.notOk(outage.isFailing());
  t.equal(outage.getReturnedAtMs(), 900);
  t.end();
});
