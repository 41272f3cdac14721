import t from 'tap';
import { reserveRequest } from './index.js';

t.test('any number of requests gets a few each second, evenly', (t) => {
  let schedule = { nextAtMs: 0 };
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < 20_000; nowMs += 10)
    for (let index = 0; index < 3; index += 1) {
      const reservation = reserveRequest(schedule, { nowMs, perSecond: 2, maximumWaitMs: 1000 });
      schedule = reservation.schedule;
      if (reservation.isGranted) sentAtMs.push(nowMs + reservation.waitMs);
    }
  const worst = Math.max(
    ...sentAtMs.map((from) => sentAtMs.filter((at) => at >= from && at < from + 4000).length),
  );
  t.ok(worst <= 9, `${worst} in 4 s`);
  t.ok(sentAtMs.length >= 40);
  t.end();
});

t.test('unused requests are kept for a second only', (t) => {
  let schedule = { nextAtMs: 0 };
  let granted = 0;
  for (let index = 0; index < 50; index += 1) {
    const options = { nowMs: 60_000, perSecond: 8, maximumWaitMs: 0 };
    const reservation = reserveRequest(schedule, options);
    schedule = reservation.schedule;
    if (reservation.isGranted) granted += 1;
  }
  t.equal(granted, 8);
  t.end();
});

t.test('tells when the next one would be taken', (t) => {
  const options = { nowMs: 1000, perSecond: 0.5, maximumWaitMs: 500 };
  const first = reserveRequest({ nextAtMs: 0 }, options);
  t.match(first, { isGranted: true, waitMs: 0 });
  const second = reserveRequest(first.schedule, options);
  t.match(second, { isGranted: false, waitMs: 2000 });
  t.same(second.schedule, first.schedule);
  t.end();
});
