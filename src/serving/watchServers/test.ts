import t, { type Test } from 'tap';
import { createPause } from '../../common/createPause.js';
import { createListAge } from '../createListAge/index.js';
import { createStoreOutage } from '../createStoreOutage/index.js';
import type { BackendServer } from '../../ports/serving.js';
import type { FleetStore, StoreChange } from '../../ports/fleetStore.js';
import { watchServers } from './index.js';

const POLL_MS = 5;
const REGISTRATION_INTERVAL_MS = 1200;
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };

function buildServer(id: string): BackendServer {
  return {
    id,
    service: 'certs',
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'a',
    slots: 4,
    isLeaving: false,
    models: [],
    incarnation: id,
  };
}

t.test(
  'keeps a server that the leader announced again after its registration expired',
  async (t) => {
    const stop = new AbortController();
    t.teardown(() => stop.abort());
    let nowMs = 0;
    let revision = 1;
    let isReachable = true;
    let changes: StoreChange[] = [];
    const value = Buffer.from('{}');
    const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
    const store = {
      list: () =>
        Promise.resolve({
          items: [{ key: 'servers/c1', value, revision: 1, lease: 0 }],
          hasMore: false,
          revision,
        }),
      watch: async () => {
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
        if (!isReachable) throw new Error('store unavailable');
        const result = { changes, revision };
        changes = [];
        return result;
      },
    } as unknown as FleetStore;
    let isFeedActive = false;
    let known: string[] = [];
    const watched = watchServers({
      store,
      prefix: 'servers/',
      clock,
      log: silentLog,
      signal: stop.signal,
      random: () => 0,
      watchTimeoutMs: 50,
      maximumBackoffMs: 1000,
      batchDelayMs: 1,
      decode: buildServer,
      onServers: (servers) => {
        known = [...servers.keys()];
      },
      onStoreResponse: () => undefined,
      listAge: createListAge(clock),
      registrationIntervalMs: REGISTRATION_INTERVAL_MS,
      outage: createStoreOutage({ clock }),
      pause: createPause(),
      feed: {
        isFeedActive: () => isFeedActive,
        waitUntilFeedEnds: () => new Promise(() => undefined),
        isWatcher: () => true,
      },
    });
    const waitFor = async (isDone: () => boolean): Promise<void> => {
      while (!isDone()) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    };
    await waitFor(() => known.includes('c1'));
    isReachable = false;
    nowMs = 5000;
    await new Promise((resolve) => setTimeout(resolve, 100));
    revision += 1;
    changes = [{ key: 'servers/c1', revision, lease: 0 }];
    isReachable = true;
    await waitFor(() => changes.length === 0);
    t.strictSame(known, ['c1'], 'may register again');
    isFeedActive = true;
    await new Promise((resolve) => setTimeout(resolve, 50));
    watched.applyLeaderChanges({ servers: [buildServer('c1')], removed: [], isSnapshot: false });
    nowMs = 10_000;
    await new Promise((resolve) => setTimeout(resolve, 700));
    t.strictSame(known, ['c1']);
  },
);

/** Opens a watch on a store with one server, of which each answer can be held up. */
function openWatch(t: Test) {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const now = { ms: 0 };
  const clock = { monotonicMs: () => now.ms, wallMs: () => now.ms };
  const outage = createStoreOutage({ clock });
  let changes: StoreChange[] = [];
  let revision = 1;
  let answer = (): Promise<void> => Promise.resolve();
  const store = {
    list: () =>
      Promise.resolve({
        items: [{ key: 'servers/c1', value: Buffer.from('{}'), revision: 1, lease: 0 }],
        hasMore: false,
        revision,
      }),
    watch: async () => {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      await answer();
      const result = { changes, revision };
      changes = [];
      return result;
    },
  } as unknown as FleetStore;
  let known: string[] = [];
  let lists = 0;
  const watched = watchServers({
    store,
    prefix: 'servers/',
    clock,
    log: silentLog,
    signal: stop.signal,
    random: () => 0,
    watchTimeoutMs: POLL_MS,
    maximumBackoffMs: 10,
    batchDelayMs: 1,
    decode: buildServer,
    onServers: (servers) => {
      known = [...servers.keys()];
      lists += 1;
    },
    onStoreResponse: () => undefined,
    listAge: createListAge(clock),
    registrationIntervalMs: REGISTRATION_INTERVAL_MS,
    outage,
    pause: createPause(),
    feed: {
      isFeedActive: () => false,
      waitUntilFeedEnds: () => Promise.resolve(),
      isWatcher: () => true,
    },
  });
  return {
    now,
    watched,
    outage,
    getKnown: () => known,
    countLists: () => lists,
    setAnswer: (next: () => Promise<void>) => {
      answer = next;
    },
    removeServer: () => {
      revision += 1;
      changes = [{ key: 'servers/c1', revision, lease: 0 }];
    },
  };
}

const waitUntil = async (isDone: () => boolean): Promise<void> => {
  while (!isDone()) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
};

t.test('drops a server that leaves just after a single call to the store has failed', async (t) => {
  const watch = openWatch(t);
  await waitUntil(() => watch.countLists() > 0);
  let failures = 0;
  watch.setAnswer(() => {
    failures += 1;
    return failures === 1 ? Promise.reject(new Error('read ECONNRESET')) : Promise.resolve();
  });
  await waitUntil(() => failures > 2);
  watch.removeServer();
  await new Promise((resolve) => setTimeout(resolve, 300));
  t.strictSame(watch.getKnown(), []);
});

t.test(
  'lets servers register again from the return of the store, not from the next list',
  async (t) => {
    const watch = openWatch(t);
    await waitUntil(() => watch.countLists() > 0);
    let isAvailable = false;
    let failures = 0;
    watch.setAnswer(() => {
      if (isAvailable) return Promise.resolve();
      failures += 1;
      return Promise.reject(new Error('status 503'));
    });
    await waitUntil(() => failures > 0);
    watch.now.ms = 5000;
    watch.outage.recordResponse();
    watch.now.ms = 6500;
    watch.removeServer();
    isAvailable = true;
    await new Promise((resolve) => setTimeout(resolve, 300));
    t.strictSame(watch.getKnown(), ['c1'], 'two seconds after the return have not passed');
    watch.now.ms = 7001;
    await new Promise((resolve) => setTimeout(resolve, 300));
    t.strictSame(watch.getKnown(), []);
  },
);

t.test('drops a server that a new leader does not list, whose removal came between', async (t) => {
  const watch = openWatch(t);
  await waitUntil(() => watch.countLists() > 0);
  t.strictSame(watch.getKnown(), ['c1']);
  const other = [buildServer('c2')];
  watch.watched.applyLeaderChanges({ servers: other, removed: [], isSnapshot: false });
  t.strictSame(watch.getKnown(), ['c1', 'c2'], 'of changes alone it cannot tell');
  watch.watched.applyLeaderChanges({ servers: other, removed: [], isSnapshot: true });
  t.strictSame(watch.getKnown(), ['c2']);
});
