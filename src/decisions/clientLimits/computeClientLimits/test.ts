import t from 'tap';
import { computeClientLimits } from './index.js';

t.test('keeps a quarter of the descriptors of the smallest host free', (t) => {
  const limits = computeClientLimits({ heapBytes: 167_772_160, descriptors: 2212 });
  t.strictSame(limits, { memoryBytes: 33_554_432, maximumConnections: 1659 });
  t.end();
});

t.test('bounds connections by the heap where descriptors are plentiful', (t) => {
  const limits = computeClientLimits({ heapBytes: 167_772_160, descriptors: Infinity });
  t.equal(limits.maximumConnections, 1677);
  t.end();
});
