import t from 'tap';
import { chooseBodyToEnd } from './index.js';

const body = (progressAtMs: number, reservedBytes: number) => ({
  progressAtMs,
  reservedBytes,
  receivedBytes: 1,
});

t.test('ends the slowest and then the largest, and none that makes progress', (t) => {
  const now = 10_000;
  const stuck = body(2000, 100);
  const largeStuck = body(2000, 50_000);
  const pausing = body(8000, 4_000_000);
  const moving = body(9500, 4_000_000);
  t.equal(chooseBodyToEnd([moving, pausing, stuck, largeStuck], now), largeStuck);
  t.equal(chooseBodyToEnd([moving, pausing], now), pausing);
  t.equal(chooseBodyToEnd([moving], now), undefined);
  t.end();
});
