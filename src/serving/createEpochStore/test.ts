import { getEventListeners } from 'node:events';
import t from 'tap';
import { KeyValueServiceError } from '../../errors/index.js';
import { TransactionResult, type StoreAnswer, type StoreClient } from '../../ports/fleetStore.js';
import { createEpochStore } from './index.js';

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
const { signal } = new AbortController();
const ITEM = { key: 'servers/c1', value: Buffer.from('{}'), lease: 0 };

/** Opens a store whose epoch and revision a test sets; counts the calls that reach it. */
function openStore(epoch?: number) {
  const state = { epoch, revision: 10, isLeaseKnown: true };
  let calls = 0;
  const answer = <T>(value: T): Promise<StoreAnswer<T>> => {
    calls += 1;
    return Promise.resolve({ value, epoch: state.epoch });
  };
  const client: StoreClient = {
    list: () =>
      answer({
        items: [{ ...ITEM, revision: state.revision }],
        hasMore: false,
        revision: state.revision,
      }),
    watch: (_, after) =>
      answer({ changes: [{ ...ITEM, revision: after + 1 }], revision: state.revision }),
    transact: () => answer({ result: TransactionResult.done, revision: state.revision }),
    grantLease: (ttlMs) => answer({ lease: 7, ttlMs }),
    renewLease: () => answer(state.isLeaseKnown),
    close: () => Promise.resolve(),
  };
  const store = createEpochStore({ client, log: silentLog });
  const changes: number[] = [];
  store.onEpochChange((next) => changes.push(next));
  return { store, client, state, changes, countCalls: () => calls };
}

t.test('hands out the numbers of a store without epochs as they are', async (t) => {
  const { store, changes } = openStore();
  t.equal((await store.list('servers/')).revision, 10);
  t.match(await store.watch('servers/', 10, 100, signal), { changes: [{ revision: 11 }] });
  const { lease } = await store.grantLease(2000);
  t.ok(await store.renewLease(lease));
  t.strictSame(changes, []);
});

t.test('a revision that is given out again is a higher one', async (t) => {
  const { store, state } = openStore(3);
  const before = await store.transact({ conditions: [], writes: [] });
  state.epoch = 4;
  state.revision = 2;
  await store.list('servers/');
  const after = await store.transact({ conditions: [], writes: [] });
  t.ok(after.revision > before.revision);
});

t.test('a position of an earlier epoch has no history, although its revision exists', async (t) => {
  const { store, state, changes } = openStore(3);
  const { revision } = await store.list('servers/');
  state.epoch = 4;
  t.equal(
    await store.watch('servers/', revision, 100, signal),
    undefined,
    'answered in another one',
  );
  t.strictSame(changes, [4]);
  t.equal(await store.watch('servers/', revision, 100, signal), undefined, 'asked in another one');
});

t.test('a watch that waits ends when another call shows the restore', async (t) => {
  const { store, client, state } = openStore(3);
  const { revision } = await store.list('servers/');
  client.watch = (_prefix, _after, _waitMs, stop) =>
    new Promise((_, reject) => {
      stop.addEventListener('abort', () => {
        reject(new Error('aborted'));
      });
    });
  const watched = store.watch('servers/', revision, 60_000, signal);
  state.epoch = 4;
  await store.list('op/');
  t.equal(await watched, undefined);
});

t.test('a condition of an earlier epoch does not hold, although its revision does', async (t) => {
  const { store, state, countCalls } = openStore(3);
  const { revision } = await store.list('servers/');
  const transaction = { conditions: [{ key: 'a', revision }], writes: [] };
  state.epoch = 4;
  const unseen = await store.transact(transaction);
  t.equal(unseen.result, TransactionResult.conflict, 'the answer shows the restore');
  const calls = countCalls();
  const known = await store.transact(transaction);
  t.equal(known.result, TransactionResult.conflict);
  t.equal(countCalls(), calls, 'without a call');
});

t.test('a condition that a key does not exist needs no epoch', async (t) => {
  const { store } = openStore(3);
  await store.list('servers/');
  const { result } = await store.transact({
    conditions: [{ key: 'a', revision: 0 }],
    writes: [],
  });
  t.equal(result, TransactionResult.done);
});

t.test('a lease of an earlier epoch is not renewed and nothing is attached to it', async (t) => {
  const { store, state, countCalls } = openStore(3);
  const { lease } = await store.grantLease(2000);
  state.epoch = 4;
  t.notOk(await store.renewLease(lease), 'the answer shows the restore');
  const calls = countCalls();
  t.notOk(await store.renewLease(lease));
  const write = { key: 'a', value: '', lease };
  t.equal(
    (await store.transact({ conditions: [], writes: [write] })).result,
    TransactionResult.leaseEnded,
  );
  t.equal(countCalls(), calls, 'the number may be the lease of another host');
  await store.grantLease(2000);
  t.ok(await store.renewLease(lease), 'granted again, with the same number');
});

t.test('an answer of an earlier epoch that arrives late is an error', async (t) => {
  const { store, state, changes } = openStore(4);
  await store.list('servers/');
  state.epoch = 3;
  await t.rejects(store.list('servers/'), KeyValueServiceError);
  t.equal(store.getEpoch(), 4);
  t.strictSame(changes, []);
});

t.test('a refusal may be the first to show the restore, and two may come in a row', async (t) => {
  const { store, client, changes } = openStore(3);
  await store.list('servers/');
  client.list = async () => {
    await Promise.resolve();
    throw new KeyValueServiceError('status 503', { props: { epoch: 5 } });
  };
  await t.rejects(store.list('servers/'));
  t.strictSame(changes, [5]);
  t.equal(store.getEpoch(), 5);
});

t.test('an epoch beyond any number of restores is not believed', async (t) => {
  const { store, state } = openStore(3);
  await store.list('servers/');
  state.epoch = 10 ** 12;
  await t.rejects(store.list('servers/'), KeyValueServiceError);
  state.epoch = 3;
  await store.list('servers/');
  t.equal(store.getEpoch(), 3);
});

t.test(
  'watches leave no listeners behind in a signal that lives as long as the process',
  async (t) => {
    const { store } = openStore(3);
    const { revision } = await store.list('servers/');
    const stop = new AbortController();
    for (let index = 0; index < 20; index += 1)
      await store.watch('servers/', revision, 1, stop.signal);
    t.equal(getEventListeners(stop.signal, 'abort').length, 0);
  },
);
