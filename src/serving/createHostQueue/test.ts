import t from 'tap';
import { createHostQueue } from './index.js';

const clock = { monotonicMs: () => 0, wallMs: () => 0 };
const { signal } = new AbortController();
const ready = (): boolean => true;

/** Opens a queue and records which requests leave it, and how. */
function openQueue(maximumLength = 10) {
  const queue = createHostQueue({ clock, maximumLength });
  const ends: string[] = [];
  const add = (
    name: string,
    { key = 'k', priority = 1, dueAtMs = 1000, isReady = ready, caller = signal } = {},
  ): void => {
    void queue.wait({ key, priority, dueAtMs }, isReady, caller).then((end) => {
      ends.push(`${name} ${end}`);
    });
  };
  const settle = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 5));
  return { queue, ends, add, settle };
}

t.test('releases one request a key, by priority and deadline', async (t) => {
  const { queue, ends, add, settle } = openQueue();
  add('late', { dueAtMs: 900 });
  add('soon', { dueAtMs: 500 });
  add('urgent', { priority: 0, dueAtMs: 2000 });
  add('blocked', { key: 'b', isReady: () => false });
  for (let turn = 0; turn < 4; turn += 1) queue.wake();
  await settle();
  t.same(ends, ['urgent released', 'soon released', 'late released']);
  t.equal(queue.count(), 1);
  queue.endAll();
});

// Guards against a small request that takes the place for which a large one waits.
t.test('a request that is not ready keeps the later ones of its key waiting', async (t) => {
  const { queue, ends, add, settle } = openQueue();
  add('large', { dueAtMs: 500, isReady: () => false });
  add('small', { dueAtMs: 900 });
  t.equal(queue.countAhead({ key: 'k', priority: 1, dueAtMs: 700 }), 1);
  queue.wake();
  await settle();
  t.same(ends, []);
  queue.endAll();
  await settle();
  t.same(ends, ['large changed', 'small changed']);
});

t.test('a full queue keeps the requests that come first', async (t) => {
  const { queue, ends, add, settle } = openQueue(2);
  add('a', { dueAtMs: 500 });
  add('b', { dueAtMs: 900 });
  add('c', { dueAtMs: 950 });
  add('d', { dueAtMs: 600 });
  await settle();
  t.same(ends, ['c displaced', 'b displaced']);
  t.equal(queue.count(), 2);
  queue.endAll();
});

t.test('a request leaves with its caller, and when it is overdue', async (t) => {
  const { queue, ends, add, settle } = openQueue();
  const caller = new AbortController();
  add('left', { caller: caller.signal });
  add('overdue', { dueAtMs: 1 });
  add('gone', { caller: AbortSignal.abort() });
  caller.abort();
  await settle();
  t.same(ends, ['gone callerLeft', 'left callerLeft', 'overdue overdue']);
  t.equal(queue.count(), 0);
});
