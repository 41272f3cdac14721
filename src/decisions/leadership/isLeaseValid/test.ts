import t from 'tap';
import { isLeaseValid, type LeaderLease } from './index.js';

const lease: LeaderLease = {
  renewedAtMs: 1000,
  renewedAtWallMs: 50_000,
  ttlMs: 2000,
  lastTickAtMs: 1900,
};

t.test('is valid after a recent renewal', (t) => {
  t.ok(isLeaseValid(lease, 2000, 51_000));
  t.end();
});

t.test('is not valid near the end of the lease', (t) => {
  t.notOk(isLeaseValid({ ...lease, lastTickAtMs: 2400 }, 2450, 51_450));
  t.end();
});

t.test('is not valid after a pause of the process', (t) => {
  t.notOk(isLeaseValid({ ...lease, lastTickAtMs: 1100 }, 2000, 51_000));
  t.end();
});

t.test('is not valid after a clock step in either direction or a suspension of the host', (t) => {
  t.notOk(isLeaseValid(lease, 2000, 53_400));
  t.notOk(isLeaseValid(lease, 2000, 48_600));
  t.notOk(isLeaseValid(lease, 1950, 60_000));
  t.end();
});
