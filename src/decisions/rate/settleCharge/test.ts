import fc from 'fast-check';
import t from 'tap';
import { chargeBucket } from '../chargeBucket/index.js';
import { computeLevel } from '../computeLevel/index.js';
import { createBucket } from '../createBucket/index.js';
import type { Bucket, BucketParameters } from '../types.js';
import { settleCharge } from './index.js';

const parameters: BucketParameters = { rate: 10, burst: 100, slots: 64 };
const unitsPerToken = 64_000;

const charge = fc.record({
  afterMs: fc.integer({ min: 0, max: 3000 }),
  reserved: fc.integer({ min: 0, max: 60 }),
  used: fc.integer({ min: 0, max: 60 }),
  settledAfter: fc.integer({ min: 0, max: 5 }),
});

t.test('gives the same level as charging the used units at once', (t) => {
  const property = fc.property(fc.array(charge, { maxLength: 30 }), (charges) => {
    let settled: Bucket = createBucket(parameters, 0, { level: 100 * unitsPerToken });
    let exact: Bucket = settled;
    let nowMs = 0;
    const due: { at: number; id: string; used: number }[] = [];
    charges.forEach(({ afterMs, reserved, used, settledAfter }, index) => {
      nowMs += afterMs;
      const id = String(index);
      settled = chargeBucket(settled, id, reserved * unitsPerToken, nowMs);
      exact = chargeBucket(exact, id, used * unitsPerToken, nowMs);
      due.push({ at: index + settledAfter, id, used });
      for (const { id: dueId, used: dueUsed } of due.filter(({ at }) => at === index))
        settled = settleCharge(settled, dueId, dueUsed * unitsPerToken);
    });
    for (const { id, used } of due) settled = settleCharge(settled, id, used * unitsPerToken);
    return computeLevel(settled, nowMs + 17) === computeLevel(exact, nowMs + 17);
  });
  fc.assert(property, { seed: 1, numRuns: 500 });
  t.end();
});

t.test('ignores a duplicate or unknown settlement', (t) => {
  const charged = chargeBucket(
    createBucket(parameters, 0, { level: unitsPerToken }),
    'a',
    unitsPerToken,
    0,
  );
  const settled = settleCharge(charged, 'a', 0);
  t.equal(computeLevel(settled, 0), unitsPerToken);
  t.equal(settleCharge(settled, 'a', 0), settled);
  t.equal(settleCharge(settled, 'b', 0), settled);
  t.end();
});
