import t from 'tap';
import { createPrefixCacheEstimate } from './_lib/createPrefixCacheEstimate.js';

const parts = [
  { key: 'm/form', tokens: 2520 },
  { key: 'm/depot-7', tokens: 3780 },
];

t.test('counts the first parts in a row that were read lately', (t) => {
  const memory = createPrefixCacheEstimate();
  t.equal(memory.countCachedTokens(parts, 0), 0);
  memory.record(parts.slice(0, 1), 0);
  t.equal(memory.countCachedTokens(parts, 1000), 2520);
  memory.record(parts, 1000);
  t.equal(memory.countCachedTokens(parts, 2000), 6300);
  t.end();
});

t.test('counts nothing behind a part that is gone', (t) => {
  const memory = createPrefixCacheEstimate();
  memory.record(parts, 0);
  memory.record(parts.slice(1), 7000);
  t.equal(memory.countCachedTokens(parts, 9000), 0);
  t.end();
});

t.test('forgets the oldest parts of a long day', (t) => {
  const memory = createPrefixCacheEstimate();
  memory.record(parts, 0);
  for (let index = 0; index < 2000; index += 1)
    memory.record([{ key: `m/own-${index}`, tokens: 10 }], 1);
  t.equal(memory.countCachedTokens(parts, 2), 0);
  t.end();
});
