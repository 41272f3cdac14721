import t from 'tap';
import { mayAcquireLeadership } from './index.js';

const own = { holder: 'one', address: '10.0.0.1', incarnation: 'b' };

t.test('takes a vacant command', (t) => {
  t.ok(mayAcquireLeadership(undefined, own));
  t.end();
});

t.test('takes the command of the process before at the same address, without its lease', (t) => {
  t.ok(mayAcquireLeadership({ ...own, incarnation: 'a' }, own));
  t.end();
});

t.test('leaves the command of another host, or of another address under its name', (t) => {
  t.notOk(mayAcquireLeadership({ ...own, holder: 'two' }, own));
  t.notOk(mayAcquireLeadership({ ...own, address: '10.0.0.9', incarnation: 'a' }, own));
  t.notOk(mayAcquireLeadership(own, own), 'nor its own once more');
  t.end();
});
