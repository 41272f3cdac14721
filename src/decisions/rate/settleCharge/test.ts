import fc from 'fast-check';
import t from 'tap';
import { chargeBucket } from '../chargeBucket/index.js';
import { computeLevel } from '../computeLevel/index.js';
import { createBucket } from '../createBucket/index.js';
import type { Bucket, BucketParameters } from '../types.js';
import { settleCharge } from './index.js';

const shape: BucketParameters = { rate: 10, burst: 100, slots: 64 };
const units = 64_000;

const charge = fc.record({
  afterMs: fc.integer({ min: 0, max: 3000 }),
  reserved: fc.integer({ min: 0, max: 60 }),
  used: fc.integer({ min: 0, max: 60 }),
  settledAfter: fc.integer({ min: 0, max: 5 }),
});

t.test('leaves the level of a bucket charged the true figure at once', (t) => {
  const property = fc.property(fc.array(charge, { maxLength: 30 }), (charges) => {
    let settled: Bucket = createBucket(shape, 0, { level: 100 * units });
    let exact: Bucket = settled;
    let nowMs = 0;
    const due: { at: number; id: string; used: number }[] = [];
    charges.forEach(({ afterMs, reserved, used, settledAfter }, index) => {
      nowMs += afterMs;
      const id = String(index);
      settled = chargeBucket(settled, id, reserved * units, nowMs);
      exact = chargeBucket(exact, id, used * units, nowMs);
      due.push({ at: index + settledAfter, id, used });
      for (const { id: ready, used: true_ } of due.filter(({ at }) => at === index))
        settled = settleCharge(settled, ready, true_ * units);
    });
    for (const { id, used } of due) settled = settleCharge(settled, id, used * units);
    return computeLevel(settled, nowMs + 17) === computeLevel(exact, nowMs + 17);
  });
  fc.assert(property, { seed: 1, numRuns: 500 });
  t.end();
});

t.test('takes a doubled or unknown settlement for nothing', (t) => {
  const charged = chargeBucket(createBucket(shape, 0, { level: units }), 'a', units, 0);
  const settled = settleCharge(charged, 'a', 0);
  t.equal(computeLevel(settled, 0), units);
  t.equal(settleCharge(settled, 'a', 0), settled);
  t.equal(settleCharge(settled, 'b', 0), settled);
  t.end();
});
