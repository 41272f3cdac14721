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
      getEpoch: () => 0,
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
    watched.applyLeaderChanges({
      servers: [buildServer('c1')],
      removed: [],
      isSnapshot: false,
      epoch: 0,
    });
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
  const epoch = { value: 1 };
  const clock = { monotonicMs: () => now.ms, wallMs: () => now.ms };
  const outage = createStoreOutage({ clock });
  let changes: StoreChange[] = [];
  let revision = 1;
  let answer = (): Promise<void> => Promise.resolve();
  const store = {
    getEpoch: () => epoch.value,
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
  let knownServers: ReadonlyMap<string, BackendServer> = new Map();
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
      knownServers = servers;
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
    epoch,
    watched,
    outage,
    getKnown: () => known,
    getServer: (id: string) => knownServers.get(id),
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
  watch.watched.applyLeaderChanges({ servers: other, removed: [], isSnapshot: false, epoch: 1 });
  t.strictSame(watch.getKnown(), ['c1', 'c2'], 'of changes alone it cannot tell');
  watch.watched.applyLeaderChanges({ servers: other, removed: [], isSnapshot: true, epoch: 1 });
  t.strictSame(watch.getKnown(), ['c2']);
});

const buildRenewed = (id: string, startedAtMs: number, renewals: number): BackendServer => ({
  ...buildServer(id),
  incarnation: `${id}/${startedAtMs}`,
  startedAtMs,
  renewals,
});

/** Opens a host to which a leader has passed on one server, in the first epoch. */
async function openFedHost(t: Test, server: BackendServer) {
  const watch = openWatch(t);
  await waitUntil(() => watch.countLists() > 0);
  const { applyLeaderChanges } = watch.watched;
  const give = (epoch: number, servers: BackendServer[], removed: string[] = []): void =>
    applyLeaderChanges({ servers, removed, isSnapshot: false, epoch });
  const giveAll = (epoch: number, servers: BackendServer[]): void =>
    applyLeaderChanges({ servers, removed: [], isSnapshot: true, epoch });
  giveAll(1, [server]);
  return { ...watch, give, giveAll };
}

t.test('a leader that knows the copy only brings back no server that had left', async (t) => {
  const host = await openFedHost(t, buildRenewed('e1', 1000, 5));
  host.give(1, [], ['e1']);
  host.giveAll(2, [buildRenewed('e1', 1000, 4)]);
  t.strictSame(host.getKnown(), []);
  host.give(2, [buildRenewed('e1', 1000, 6)]);
  t.strictSame(host.getKnown(), ['e1'], 'it has registered again since');
});

t.test('a server that returns within an epoch is used again', async (t) => {
  const host = await openFedHost(t, buildRenewed('e1', 1000, 5));
  host.give(1, [], ['e1']);
  host.give(1, [buildRenewed('e1', 1000, 5)]);
  t.strictSame(host.getKnown(), ['e1']);
});

t.test(
  'a leader that knows the copy only drops no server before it may register again',
  async (t) => {
    const host = await openFedHost(t, buildRenewed('e1', 1000, 5));
    host.giveAll(2, []);
    t.strictSame(host.getKnown(), ['e1']);
    host.now.ms = 2001;
    await waitUntil(() => host.getKnown().length === 0);
  },
);

t.test('an older incarnation or registration of the copy replaces no newer one', async (t) => {
  const host = await openFedHost(t, buildRenewed('e1', 2000, 5));
  host.give(2, [{ ...buildRenewed('e1', 1000, 9), service: 'older' }]);
  host.give(2, [{ ...buildRenewed('e1', 2000, 4), service: 'older' }]);
  t.equal(host.getServer('e1')?.service, 'certs');
  host.give(2, [{ ...buildRenewed('e1', 2000, 6), service: 'newer' }]);
  t.equal(host.getServer('e1')?.service, 'newer');
});
