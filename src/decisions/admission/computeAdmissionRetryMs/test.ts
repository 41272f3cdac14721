import t from 'tap';
import { computeAdmissionRetryMs, computeCapacityMs } from './index.js';

const caller = { capacityInMs: 1000, rank: 0, classCount: 3, remainingMs: 30_000, random: 0.5 };

t.test('estimates the time from how fast the backlog falls, and from the level', (t) => {
  t.equal(computeCapacityMs({ refusedShare: 0, excessMs: 600, fallPerSecond: 300 }), 2000);
  t.equal(computeCapacityMs({ refusedShare: 0, excessMs: 600, fallPerSecond: -300 }), 5000);
  t.ok(computeCapacityMs({ refusedShare: 0.6, excessMs: -100, fallPerSecond: 0 }) >= 900);
  t.end();
});

t.test('urgent callers return first, and those of a class at different times', (t) => {
  const last = computeAdmissionRetryMs({ ...caller, random: 0.99 });
  t.ok(computeAdmissionRetryMs({ ...caller, random: 0 }) < last);
  t.ok(last < computeAdmissionRetryMs({ ...caller, rank: 1, random: 0 }));
  t.end();
});

// Guards against retry times that callers do not honour, and that the header rounds up to such ones.
t.test('stays below a third of the time that the caller has left', (t) => {
  for (const remainingMs of [0, 20, 100, 500, 2000, 3100, 9000])
    for (const random of [0, 0.5, 0.999])
      for (const rank of [0, 2]) {
        const retryMs = computeAdmissionRetryMs({ ...caller, remainingMs, random, rank });
        t.ok(retryMs >= 0 && (remainingMs < 30 || retryMs + 5 < remainingMs / 3), `${retryMs}`);
      }
  t.end();
});
