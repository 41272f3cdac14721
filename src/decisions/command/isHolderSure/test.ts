import t from 'tap';
import { isHolderSure, type HeldLease } from './index.js';

const lease: HeldLease = {
  renewedAtMs: 1000,
  renewedAtWallMs: 50_000,
  ttlMs: 2000,
  lastTickMs: 1900,
};

t.test('orders while the lease was renewed lately', (t) => {
  t.ok(isHolderSure(lease, 2000, 51_000));
  t.end();
});

t.test('asks the store near the end of the lease', (t) => {
  t.notOk(isHolderSure({ ...lease, lastTickMs: 2400 }, 2450, 51_450));
  t.end();
});

t.test('asks the store after a pause of the process', (t) => {
  t.notOk(isHolderSure({ ...lease, lastTickMs: 1100 }, 2000, 51_000));
  t.end();
});

t.test('asks the store after a clock step either way, or a suspended host', (t) => {
  t.notOk(isHolderSure(lease, 2000, 53_400));
  t.notOk(isHolderSure(lease, 2000, 48_600));
  t.notOk(isHolderSure(lease, 1950, 60_000));
  t.end();
});
