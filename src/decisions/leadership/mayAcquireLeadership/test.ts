import t from 'tap';
import { mayAcquireLeadership } from './index.js';

const own = { holder: 'one', address: '10.0.0.1', incarnation: 'b' };

t.test('allows it when there is no leader', (t) => {
  t.ok(mayAcquireLeadership(undefined, own));
  t.end();
});

t.test(
  'allows it when the leader is an earlier process at the same address, before its lease expires',
  (t) => {
    t.ok(mayAcquireLeadership({ ...own, incarnation: 'a' }, own));
    t.end();
  },
);

t.test(
  'refuses it when the leader is another host, or the same host name at another address',
  (t) => {
    t.notOk(mayAcquireLeadership({ ...own, holder: 'two' }, own));
    t.notOk(mayAcquireLeadership({ ...own, address: '10.0.0.9', incarnation: 'a' }, own));
    t.notOk(mayAcquireLeadership(own, own), 'refuses it when this process is already the leader');
    t.end();
  },
);
