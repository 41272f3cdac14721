import t from 'tap';
import { computeLargeTokens, computeSizeIndex } from './index.js';

t.test('finds the size of the largest tenth', (t) => {
  const counts = Array.from({ length: 60 }, () => 0);
  counts[computeSizeIndex(1000)] = 90;
  counts[computeSizeIndex(9000)] = 10;
  const largeTokens = computeLargeTokens(counts);
  t.ok(largeTokens > 1000 && largeTokens <= 9000);
  t.equal(computeLargeTokens([]), Infinity);
  t.equal(computeSizeIndex(0), 0);
  t.ok(computeSizeIndex(Number.MAX_VALUE) <= 120, 'counts stay bounded');
  t.end();
});
