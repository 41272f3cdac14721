import t from 'tap';
import { encodeRevision } from '../../decisions/storeEpochs/encodeRevision/index.js';
import type { FleetStore } from '../../ports/fleetStore.js';
import { createStoreOutage } from '../createStoreOutage/index.js';
import { watchPrefix } from './index.js';

const MAX_FIRST_RETRY_MS = 200; // a round, after which other hosts may rely on the same change

const buildOptions = (store: FleetStore, signal: AbortSignal) => ({
  store,
  prefix: 'servers/',
  clock: { monotonicMs: () => performance.now(), wallMs: () => Date.now() },
  log: { info: () => undefined, warn: () => undefined, error: () => undefined },
  signal,
  watchTimeoutMs: 1000,
  pauseMs: 100,
  random: () => 0,
  onSnapshot: () => undefined,
  onChanges: () => undefined,
  feed: {
    isFeedActive: () => false,
    waitUntilFeedEnds: () => Promise.resolve(),
    isWatcher: () => false,
  },
});

/** Counts the calls of a task in a second in which another task has failed and nothing is answered. */
async function countCallsInOutage(mayWaitForOthers: boolean): Promise<number> {
  let calls = 0;
  const store = {
    list: () => {
      calls += 1;
      return Promise.reject(new Error('status 503'));
    },
  } as unknown as FleetStore;
  const stop = new AbortController();
  const outage = createStoreOutage();
  outage.recordFailure({ task: 'another/', askedAtMs: 0, mayWaitForOthers: true });
  void watchPrefix({ ...buildOptions(store, stop.signal), mayWaitForOthers, outage });
  await new Promise((resolve) => setTimeout(resolve, 1200));
  stop.abort();
  return calls;
}

t.test('only a task that may wait for others leaves the tries to another one', async (t) => {
  t.equal(await countCallsInOutage(true), 2);
  t.ok((await countCallsInOutage(false)) > 2);
});

t.test('reads the store at once after a kept connection has failed the first call', async (t) => {
  let calls = 0;
  const store = {
    list: () => {
      calls += 1;
      return calls === 1
        ? Promise.reject(new Error('read ECONNRESET'))
        : Promise.resolve({ items: [], revision: 7, hasMore: false });
    },
    watch: () => new Promise(() => undefined),
  } as unknown as FleetStore;
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const startedAtMs = performance.now();
  await new Promise<void>((resolve) => {
    void watchPrefix({
      ...buildOptions(store, stop.signal),
      onSnapshot: () => resolve(),
      outage: createStoreOutage(),
    });
  });
  t.ok(performance.now() - startedAtMs < MAX_FIRST_RETRY_MS);
});

t.test(
  'a task that backs off reads the store once another task of the host was answered',
  async (t) => {
    let isAvailable = false;
    let calls = 0;
    const store = {
      list: () => {
        calls += 1;
        return isAvailable
          ? Promise.resolve({ items: [], revision: 7, hasMore: false })
          : Promise.reject(new Error('status 503'));
      },
      watch: () => new Promise(() => undefined),
    } as unknown as FleetStore;
    const stop = new AbortController();
    t.teardown(() => stop.abort());
    const outage = createStoreOutage();
    const read = new Promise<void>((resolve) => {
      void watchPrefix({
        ...buildOptions(store, stop.signal),
        random: () => 0.999, // the longest backoffs
        onSnapshot: () => resolve(),
        outage,
      });
    });
    while (calls < 3) await new Promise((resolve) => setTimeout(resolve, 10));
    await new Promise((resolve) => setTimeout(resolve, 10));
    isAvailable = true;
    const answeredAtMs = performance.now();
    outage.recordResponse();
    await read;
    t.ok(performance.now() - answeredAtMs < MAX_FIRST_RETRY_MS);
  },
);

t.test('the store is asked to wait for whole milliseconds, also after a pause', async (t) => {
  const waits: number[] = [];
  const store = {
    list: () => Promise.resolve({ items: [], revision: 7, hasMore: false }),
    watch: (_: string, after: number, waitMs: number) => {
      waits.push(waitMs);
      const change = { key: 'servers/c1', revision: after + 1, lease: 0 };
      return Promise.resolve({ changes: [change], revision: after + 1 });
    },
  } as unknown as FleetStore;
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void watchPrefix({ ...buildOptions(store, stop.signal), outage: createStoreOutage() });
  while (waits.length < 4) await new Promise((resolve) => setTimeout(resolve, 10));
  t.ok(waits.every(Number.isInteger), waits.join());
});

t.test('pages of a list from two epochs of the store are not put together', async (t) => {
  const pages = [
    { items: [], revision: encodeRevision(3, 9), hasMore: true },
    { items: [], revision: encodeRevision(4, 2), hasMore: false },
    { items: [], revision: encodeRevision(4, 2), hasMore: false },
  ];
  let lists = 0;
  const store = {
    list: () => Promise.resolve(pages[Math.min(lists++, 2)]),
    watch: () => new Promise(() => undefined),
  } as unknown as FleetStore;
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  await new Promise<void>((resolve) => {
    void watchPrefix({
      ...buildOptions(store, stop.signal),
      onSnapshot: () => resolve(),
      outage: createStoreOutage(),
    });
  });
  t.equal(lists, 3);
});
