import t from 'tap';
import { mayOthersHaveOrders, type HandoverKnowledge } from './index.js';

const build = (change: Partial<HandoverKnowledge>): HandoverKnowledge => ({
  self: 'one',
  epoch: 4,
  lastLeader: { holder: '', epoch: 4 },
  ledUntilEndOf: undefined,
  isFirstStart: false,
  hasSeenRestore: false,
  ...change,
});

t.test('a record of this epoch decides', (t) => {
  t.ok(mayOthersHaveOrders(build({ lastLeader: { holder: 'two', epoch: 4 } })));
  t.notOk(mayOthersHaveOrders(build({ lastLeader: { holder: 'one', epoch: 4 } })));
  const ledBefore = { lastLeader: { holder: 'two', epoch: 4 }, ledUntilEndOf: 3 };
  t.ok(mayOthersHaveOrders(build(ledBefore)), 'another host has led since the restore');
  t.end();
});

t.test('a record of an earlier epoch proves nothing, not even one of this host', (t) => {
  t.ok(mayOthersHaveOrders(build({ lastLeader: { holder: 'one', epoch: 3 } })));
  t.ok(mayOthersHaveOrders(build({ lastLeader: { holder: 'two', epoch: 3 } })));
  t.end();
});

t.test('the process that led until the restore goes on', (t) => {
  const lastLeader = { holder: 'two', epoch: 3 };
  t.notOk(mayOthersHaveOrders(build({ lastLeader, ledUntilEndOf: 3 })));
  t.ok(mayOthersHaveOrders(build({ lastLeader, ledUntilEndOf: 2 })), 'not over two restores');
  t.end();
});

t.test('without a record only a first start is free', (t) => {
  t.notOk(mayOthersHaveOrders(build({ isFirstStart: true })));
  t.ok(mayOthersHaveOrders(build({ isFirstStart: true, hasSeenRestore: true })));
  t.ok(mayOthersHaveOrders(build({})), 'the copy may be older than the first leader');
  t.notOk(mayOthersHaveOrders(build({ epoch: 0, lastLeader: { holder: '', epoch: 0 } })));
  t.end();
});
