import t from 'tap';
import { hashPart } from '../../../decisions/prefixCache/hashPart/index.js';
import { createAgedCacheEstimate } from './createAgedCacheEstimate.js';

const parts = [
  { key: 'm/form', tokens: 2520 },
  { key: 'm/depot-7', tokens: 3780 },
];
const hashes = parts.map(({ key }) => hashPart(key));

// Guards against parts that count without those before them, and a restart of the age by a load.
t.test('counts parts by what the engine has processed since their use', (t) => {
  const estimate = createAgedCacheEstimate(0);
  const count = (nowMs: number, cacheAging = 1) =>
    estimate.countCachedTokens(parts, { memoryTokens: 38_700, cacheAging, nowMs });
  estimate.recordUses(hashes.slice(1), 0);
  t.equal(count(0), 0);
  estimate.recordUses(hashes, 0);
  t.equal(count(0), 6300);
  estimate.recordLoad({ backlogTokens: 1, latencyRatio: 1 }, 1000);
  t.equal(count(1000), 3150);
  t.equal(count(1000, 0), 6300);
  t.equal(count(9000, 0), 0);
  t.end();
});
