import t from 'tap';
import { createPrefixCacheEstimate } from './_lib/createPrefixCacheEstimate.js';

const parts = [
  { key: 'm/form', tokens: 2520 },
  { key: 'm/depot-7', tokens: 3780 },
];

t.test('counts the leading parts that were processed lately', (t) => {
  const estimate = createPrefixCacheEstimate();
  t.equal(estimate.countCachedTokens(parts, 0), 0);
  estimate.record(parts.slice(0, 1), 0);
  t.equal(estimate.countCachedTokens(parts, 1000), 2520);
  estimate.record(parts, 1000);
  t.equal(estimate.countCachedTokens(parts, 2000), 6300);
  t.end();
});

t.test('counts no part after one that has expired', (t) => {
  const estimate = createPrefixCacheEstimate();
  estimate.record(parts, 0);
  estimate.record(parts.slice(1), 7000);
  t.equal(estimate.countCachedTokens(parts, 9000), 0);
  t.end();
});

t.test('drops the oldest parts above the limit of parts', (t) => {
  const estimate = createPrefixCacheEstimate();
  estimate.record(parts, 0);
  for (let index = 0; index < 2000; index += 1)
    estimate.record([{ key: `m/own-${index}`, tokens: 10 }], 1);
  t.equal(estimate.countCachedTokens(parts, 2), 0);
  t.end();
});
