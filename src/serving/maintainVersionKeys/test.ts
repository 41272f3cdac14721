import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { TransactionResult, type StoreItem } from '../../ports/fleetStore.js';
import type { BackendServer } from '../../ports/serving.js';
import { buildVersionKey } from '../versionKeys.js';
import { maintainVersionKeys } from './index.js';

const CHECK_MS = 700; // beyond the interval of the checks
const REREAD_MS = 30_001;
const SERVICE = 'llm';

/** Starts the task on a host that leads, with the store in memory. */
function startKeys(t: Test) {
  const items = new Map<string, StoreItem>();
  const state = {
    nowMs: 0,
    epoch: 1,
    mayWrite: true,
    isDown: false,
    listCalls: 0,
    writes: 0,
    leases: 0,
  };
  const ttls: number[] = [];
  let onEpochChange = (): void => undefined;
  const put = (version: string, lease = 0): void => {
    const names = { service: SERVICE, version };
    const key = buildVersionKey(names);
    const value = JSON.stringify({ ...names, epoch: state.epoch });
    items.set(key, { key, value: Buffer.from(value), revision: 1, lease });
  };
  const answer = async <T>(find: () => T): Promise<T> => {
    if (state.isDown) throw new Error('status 503');
    return await Promise.resolve(find());
  };
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const readMs = (): number => state.nowMs;
  const keys = maintainVersionKeys({
    store: {
      list: () =>
        answer(() => {
          state.listCalls += 1;
          return { items: [...items.values()], hasMore: false, revision: 1 };
        }),
      transact: ({ writes }) =>
        answer(() => {
          state.writes += 1;
          for (const { key, value, lease = 0 } of writes)
            items.set(key, { key, value: Buffer.from(value), revision: 1, lease });
          return { result: TransactionResult.done, revision: 1 };
        }),
      grantLease: (ttlMs) =>
        answer(() => {
          ttls.push(ttlMs);
          return { lease: (state.leases += 1), ttlMs };
        }),
      getEpoch: () => state.epoch,
      onEpochChange: (listener) => {
        onEpochChange = () => listener(state.epoch);
      },
    },
    clock: { monotonicMs: readMs, wallMs: readMs },
    log: { info: () => undefined, warn: () => undefined, error: () => undefined },
    signal: stop.signal,
    mayWrite: () => state.mayWrite,
  });
  const setVersions = (...versions: (string | undefined)[]): void =>
    keys.setServers(
      new Map(
        versions.map((softwareVersion, index) => [
          `e-${index}`,
          { service: SERVICE, softwareVersion } as BackendServer,
        ]),
      ),
    );
  /** Lists the versions with their leases, such as `v1:0`. */
  const list = (): string[] =>
    [...items.values()]
      .map(({ value, lease }) => {
        const { version } = JSON.parse(value.toString()) as { version: string };
        return `${version}:${lease}`;
      })
      .sort();
  const restore = (...versions: string[]): void => {
    items.clear();
    for (const version of versions) put(version);
    state.epoch += 1;
    onEpochChange();
  };
  return { state, ttls, put, restore, setVersions, list, items };
}

t.test('writes a key for each version once, and none for servers that name none', async (t) => {
  const { setVersions, list, state } = startKeys(t);
  setVersions('v1', 'v2', 'v1', undefined);
  await wait(2 * CHECK_MS);
  t.strictSame(list(), ['v1:0', 'v2:0']);
  t.equal(state.writes, 1);
});

t.test(
  'keeps the key of a version that has left for 60 s, and writes one that is back',
  async (t) => {
    const { setVersions, list, ttls } = startKeys(t);
    setVersions('v1', 'v2');
    await wait(10);
    setVersions('v2');
    await wait(CHECK_MS);
    t.strictSame(list(), ['v1:1', 'v2:0']);
    t.strictSame(ttls, [60_000]);
    setVersions('v1', 'v2');
    await wait(CHECK_MS);
    t.strictSame(list(), ['v1:0', 'v2:0']);
  },
);

t.test('keeps the keys while no server is known', async (t) => {
  const { setVersions, list } = startKeys(t);
  setVersions('v1');
  await wait(10);
  setVersions();
  await wait(CHECK_MS);
  t.strictSame(list(), ['v1:0']);
});

t.test(
  'writes nothing without leadership and a current list, and reads anew with them',
  async (t) => {
    const { setVersions, list, state, put } = startKeys(t);
    state.mayWrite = false;
    setVersions('v1');
    await wait(CHECK_MS);
    t.strictSame([list(), state.listCalls], [[], 0]);
    state.mayWrite = true;
    await wait(CHECK_MS);
    t.strictSame(list(), ['v1:0']);
    state.mayWrite = false;
    setVersions('v1', 'v2');
    await wait(CHECK_MS);
    put('v2');
    state.mayWrite = true;
    await wait(CHECK_MS);
    t.strictSame([list(), state.writes], [['v1:0', 'v2:0'], 1]);
  },
);

t.test('does not write what it read while it lost its leadership', async (t) => {
  const { setVersions, list, state, items } = startKeys(t);
  setVersions('v1');
  state.mayWrite = false; // the store has not answered the read yet
  await wait(CHECK_MS);
  t.strictSame([list(), items.size], [[], 0]);
});

t.test('finds within 30 s what another leader has written or retired', async (t) => {
  const { setVersions, list, state, put } = startKeys(t);
  setVersions('v1');
  await wait(10);
  put('v1', 7);
  put('v0');
  state.nowMs += REREAD_MS;
  await wait(CHECK_MS);
  t.strictSame(list(), ['v0:1', 'v1:0']);
});

t.test('writes the keys again to a restored store', async (t) => {
  const { setVersions, restore, list, state, items } = startKeys(t);
  setVersions('v1', 'v2');
  await wait(10);
  restore('v0', 'v1');
  await wait(CHECK_MS);
  t.strictSame(list(), ['v0:0', 'v1:0'], 'servers may register again');
  state.nowMs += 2001;
  await wait(CHECK_MS);
  t.strictSame(list(), ['v0:1', 'v1:0', 'v2:0']);
  t.ok([...items.values()].every(({ value }) => value.includes('"epoch":2')));
});

t.test('writes again after a call that failed', async (t) => {
  const { setVersions, list, state } = startKeys(t);
  state.isDown = true;
  setVersions('v1');
  await wait(CHECK_MS);
  state.isDown = false;
  await wait(CHECK_MS);
  t.strictSame(list(), ['v1:0']);
  setVersions('v2');
  state.isDown = true;
  await wait(CHECK_MS);
  state.isDown = false;
  await wait(CHECK_MS);
  t.strictSame(list(), ['v1:1', 'v2:0']);
});

t.test('writes more versions than one transaction takes', async (t) => {
  const { setVersions, list, state } = startKeys(t);
  setVersions(...Array.from({ length: 70 }, (_, index) => `v${index}`));
  await wait(2 * CHECK_MS);
  t.strictSame([list().length, state.writes], [70, 3]);
});
