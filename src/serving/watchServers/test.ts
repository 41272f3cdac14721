import t from 'tap';
import { createListAge } from '../createListAge/index.js';
import { createStoreOutage } from '../createStoreOutage/index.js';
import type { BackendServer } from '../../ports/serving.js';
import type { FleetStore, StoreChange } from '../../ports/fleetStore.js';
import { watchServers } from './index.js';

const POLL_MS = 5;
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
      clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
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
      listAge: { recordComplete: () => undefined, getAgeMs: () => 0 },
      outage: createStoreOutage(),
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
    await new Promise((resolve) => setTimeout(resolve, 100));
    revision += 1;
    changes = [{ key: 'servers/c1', revision, lease: 0 }];
    isReachable = true;
    await waitFor(() => changes.length === 0);
    isFeedActive = true;
    await new Promise((resolve) => setTimeout(resolve, 50));
    watched.applyLeaderChanges([buildServer('c1')], []);
    nowMs = 10_000;
    await new Promise((resolve) => setTimeout(resolve, 700));
    t.strictSame(known, ['c1']);
  },
);

t.test('drops a server that leaves just after a single call to the store has failed', async (t) => {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  let failures = 0;
  let changes: StoreChange[] = [];
  let revision = 1;
  const store = {
    list: () =>
      Promise.resolve({
        items: [{ key: 'servers/c1', value: Buffer.from('{}'), revision: 1, lease: 0 }],
        hasMore: false,
        revision,
      }),
    watch: async () => {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      if (failures === 1) {
        failures += 1;
        throw new Error('read ECONNRESET');
      }
      const result = { changes, revision };
      changes = [];
      return result;
    },
  } as unknown as FleetStore;
  const clock = { monotonicMs: () => performance.now(), wallMs: () => performance.now() };
  let known: string[] = [];
  let lists = 0;
  watchServers({
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
      lists += 1;
    },
    onStoreResponse: () => undefined,
    listAge: createListAge(clock),
    outage: createStoreOutage(),
    feed: {
      isFeedActive: () => false,
      waitUntilFeedEnds: () => Promise.resolve(),
      isWatcher: () => true,
    },
  });
  while (lists === 0) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  failures = 1;
  while (failures === 1) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  await new Promise((resolve) => setTimeout(resolve, 100));
  revision += 1;
  changes = [{ key: 'servers/c1', revision, lease: 0 }];
  await new Promise((resolve) => setTimeout(resolve, 300));
  t.strictSame(known, []);
});
