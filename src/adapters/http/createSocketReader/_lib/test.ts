import t from 'tap';
import { createTurnQueue } from './createTurnQueue.js';

t.test('runs one callback in each turn, in order', (t) => {
  const turns: (() => void)[] = [];
  const ran: number[] = [];
  const queue = createTurnQueue((callback) => turns.push(callback));
  for (const number of [1, 2, 3]) queue.add(() => ran.push(number));
  t.equal(turns.length, 1, 'one turn is asked for at a time');
  turns.shift()?.();
  t.same(ran, [1]);
  queue.add(() => ran.push(4));
  while (turns.length > 0) turns.shift()?.();
  t.same(ran, [1, 2, 3, 4]);
  t.end();
});

t.test('goes on after a callback that throws', (t) => {
  const turns: (() => void)[] = [];
  const queue = createTurnQueue((callback) => turns.push(callback));
  let isRun = false;
  queue.add(() => {
    throw new Error('failed');
  });
  queue.add(() => {
    isRun = true;
  });
  t.throws(() => turns.shift()?.());
  turns.shift()?.();
  t.ok(isRun);
  t.end();
});
