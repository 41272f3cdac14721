import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import { TransactionResult, type StoreItem } from '../../ports/fleetStore.js';
import type { BackendServer, ServingRequest } from '../../ports/serving.js';
import { createStoreOutage } from '../createStoreOutage/index.js';
import { buildStreamKey, buildVersionKey } from '../versionKeys.js';
import { createStreamVersions, VersionSource } from './index.js';

const [BATCH_MS, RETRY_MS] = [120, 700]; // beyond the delay of a batch, and after one that failed
const SILENCE_MS = 1500; // longer than a host waits for the store
const SERVICE = 'llm';
const StoreState = { well: 'well', down: 'down', silent: 'silent' } as const;

const buildRequest = (change: Partial<ServingRequest> = {}): ServingRequest =>
  ({ id: 'r1', service: SERVICE, organisation: { name: 'depots' }, ...change }) as ServingRequest;
const buildServer = (softwareVersion?: string, id = `e-${softwareVersion}`): BackendServer =>
  ({ id, service: SERVICE, softwareVersion }) as BackendServer;
const resume = (resumedRequestId?: string, organisation = 'depots'): ServingRequest =>
  buildRequest({
    id: 'r2',
    resumedRequestId,
    organisation: { name: organisation } as ServingRequest['organisation'],
  });

/** Opens the versions of a host that has read the keys, and knows servers, of the given versions. */
async function openVersions({
  keys = ['v1'],
  servers = keys,
}: { keys?: readonly string[]; servers?: readonly (string | undefined)[] } = {}) {
  const clock = { nowMs: 0 };
  const readMs = (): number => clock.nowMs;
  const items = new Map<string, StoreItem>();
  const batches: string[][] = [];
  const written: number[] = [];
  let ended = new Set<number>();
  let leases = 0;
  let onEpochChange = (): void => undefined;
  const state = { store: StoreState.well as string, ageMs: 0 };
  const put = (key: string, value: unknown, lease = 0): void =>
    void items.set(key, { key, value: Buffer.from(JSON.stringify(value)), revision: 1, lease });
  let epoch = 1;
  const putVersion = (version: string, writtenIn = epoch): void => {
    const names = { service: SERVICE, version };
    put(buildVersionKey(names), { ...names, epoch: writtenIn });
  };
  for (const version of keys) putVersion(version);
  const answer = async <T>(find: () => T): Promise<T> => {
    if (state.store === StoreState.silent) await wait(SILENCE_MS);
    if (state.store === StoreState.down) throw new Error('status 503');
    return await Promise.resolve(find());
  };
  const outage = createStoreOutage({ clock: { monotonicMs: readMs } });
  const versions = createStreamVersions({
    store: {
      list: (prefix, after = '') =>
        answer(() => {
          const found = [...items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((one, other) => (one.key < other.key ? -1 : 1));
          return { items: found.slice(0, 1), hasMore: found.length > 1, revision: 1 };
        }),
      transact: ({ writes }) =>
        answer(() => {
          batches.push(writes.map(({ key }) => key));
          if (writes.some(({ lease = 0 }) => ended.has(lease)))
            return { result: TransactionResult.leaseEnded, revision: 1 };
          for (const { key, value, lease } of writes) put(key, JSON.parse(value), lease);
          return { result: TransactionResult.done, revision: 1 };
        }),
      grantLease: (ttlMs) => answer(() => ({ lease: (leases += 1), ttlMs })),
      getEpoch: () => epoch,
      onEpochChange: (listener) => {
        onEpochChange = () => listener(epoch);
      },
    },
    clock: { monotonicMs: readMs, wallMs: readMs },
    log: { info: () => undefined, warn: () => undefined, error: () => undefined },
    random: () => 0,
    firstReadDelayMs: 0,
    host: 'a',
    outage,
    listAge: { getAgeMs: () => state.ageMs },
    onRecordsWritten: (records) => written.push(records),
  });
  t.teardown(versions.close);
  const setServers = (...known: (string | undefined)[]): void =>
    versions.setServers(
      new Map(known.map((version) => [`e-${version}`, buildServer(version)] as const)),
    );
  setServers(...servers);
  await wait(10);
  /** Restores the store from a copy that holds only the given versions, or lets a leader write them again. */
  const restore = (copied: readonly string[], isWrittenAgain = true): void => {
    ended = new Set(Array.from({ length: leases }, (_, index) => index + 1));
    items.clear();
    epoch += 1;
    for (const version of copied) putVersion(version, isWrittenAgain ? epoch : epoch - 1);
    onEpochChange();
  };
  const countRecords = (): number =>
    [...items.keys()].filter((key) => key.startsWith('bronzelanding-streams/')).length;
  return {
    ...{ versions, clock, items, batches, written, state, outage },
    ...{ put, setServers, restore, countRecords },
  };
}

const needs: Record<string, [Parameters<typeof openVersions>[0], string | undefined, number]> = {
  'one version': [{}, 'v1', 0],
  'two versions': [{ keys: ['v1', 'v2'] }, 'v1', 1],
  'two versions, one of which has left': [{ keys: ['v1', 'v2'], servers: ['v1'] }, 'v1', 1],
  'two versions, one of which has no key yet': [{ keys: ['v1'], servers: ['v1', 'v2'] }, 'v1', 1],
  'no key yet': [{ keys: [], servers: ['v1'] }, 'v1', 1],
  'a server whose version is not known': [{ servers: ['v1', undefined] }, 'v1', 1],
  'a stream whose version is not known': [{}, undefined, 1],
};
for (const [name, [setup, version, records]] of Object.entries(needs))
  t.test(`a stream has ${records} records with ${name}`, async (t) => {
    const { versions, countRecords } = await openVersions(setup);
    versions.recordBegun(buildRequest(), buildServer(version));
    await wait(BATCH_MS);
    t.equal(countRecords(), records);
  });

t.test('a stream has a record while the keys cannot be read', async (t) => {
  const { versions, state, countRecords, setServers } = await openVersions({ servers: [] });
  state.store = StoreState.down;
  setServers('v1');
  await wait(10);
  versions.recordBegun(buildRequest(), buildServer('v1'));
  state.store = StoreState.well;
  await wait(BATCH_MS);
  t.equal(countRecords(), 1);
});

t.test('a complete stream is not written, and is not known any more', async (t) => {
  const { versions, countRecords } = await openVersions({ keys: ['v1', 'v2'] });
  versions.recordBegun(buildRequest(), buildServer('v1'));
  versions.recordEnded(buildRequest(), true);
  await wait(BATCH_MS);
  t.equal(countRecords(), 0);
  t.equal((await versions.findVersion(resume('r1'))).source, VersionSource.none);
});

t.test('running and broken streams are written when a second version comes', async (t) => {
  const { versions, setServers, countRecords } = await openVersions();
  for (const id of ['r1', 'broken', 'complete'])
    versions.recordBegun(buildRequest({ id }), buildServer('v1'));
  versions.recordBegun(buildRequest({ id: 'r2', service: 'other' }), {
    ...buildServer('v1'),
    service: 'other',
  });
  await wait(BATCH_MS);
  versions.recordEnded(buildRequest({ id: 'broken' }), false);
  versions.recordEnded(buildRequest({ id: 'complete' }), true);
  const before = countRecords();
  setServers('v1', 'v2');
  await wait(BATCH_MS);
  t.equal(countRecords() - before, 2);
});

t.test('records are written in batches of 32', async (t) => {
  const { versions, batches, written } = await openVersions({ keys: ['v1', 'v2'] });
  for (let index = 0; index < 70; index += 1)
    versions.recordBegun(buildRequest({ id: `r${index}` }), buildServer('v1'));
  await wait(BATCH_MS);
  const sizes = [32, 32, 6];
  t.strictSame([batches.map(({ length }) => length), written], [sizes, sizes]);
});

t.test('a record that the store did not take is written again', async (t) => {
  const { versions, state, countRecords, written } = await openVersions({ keys: ['v1', 'v2'] });
  state.store = StoreState.down;
  versions.recordBegun(buildRequest(), buildServer('v1'));
  await wait(BATCH_MS);
  state.store = StoreState.well;
  await wait(RETRY_MS);
  t.strictSame(written, [0, 1]);
  t.equal(countRecords(), 1);
});

t.test('running streams are written again, with another lease, to a restored store', async (t) => {
  const { versions, restore, countRecords, written } = await openVersions({ keys: ['v1', 'v2'] });
  for (const id of ['running', 'complete'])
    versions.recordBegun(buildRequest({ id }), buildServer('v1'));
  await wait(BATCH_MS);
  versions.recordEnded(buildRequest({ id: 'complete' }), true);
  restore(['v1', 'v2']);
  await wait(BATCH_MS + RETRY_MS);
  t.equal(countRecords(), 1);
  t.strictSame(written, [2, 0, 1]);
});

t.test('a version that left lately counts after a restore without it', async (t) => {
  const { versions, clock, restore, setServers } = await openVersions({ keys: ['v1', 'v2'] });
  setServers('v1');
  restore(['v1']);
  for (const [nowMs, source] of [
    [44_999, VersionSource.none],
    [45_001, VersionSource.sole],
  ] as const) {
    clock.nowMs = nowMs;
    t.equal((await versions.findVersion(resume('r1'))).source, source);
  }
});

t.test('the keys of a copy do not tell that there is one version', async (t) => {
  const { versions, restore } = await openVersions();
  restore(['v1'], false);
  t.equal((await versions.findVersion(resume('r1'))).source, VersionSource.none);
});

t.test('a lease is not used for longer than its records need it', async (t) => {
  const { versions, clock, items } = await openVersions({ keys: ['v1', 'v2'] });
  for (const id of ['r1', 'r2', 'r3']) {
    versions.recordBegun(buildRequest({ id }), buildServer('v1'));
    await wait(BATCH_MS);
    clock.nowMs += 31_000;
  }
  const leases = [...items.values()].map(({ lease }) => lease);
  t.strictSame(leases, [0, 0, 1, 1, 2]); // the first two are of version keys
});

const key = buildStreamKey('depots', 'r1');
const record = { version: 'v2', server: 'e-v2', host: 'b' };
const unknown = { ...record, version: '' };
const { host, record: byRecord, sole, none } = VersionSource;
const one = { keys: ['v1'] };
const two = { keys: ['v1', 'v2'] };
const mixed = { ...one, servers: ['v1', 'v2'] };
type Finding = [
  setup: Parameters<typeof openVersions>[0],
  stored: unknown,
  request: ServingRequest,
  found: [VersionSource, string?],
];
const findings: Record<string, Finding> = {
  'a record': [two, record, resume('r1'), [byRecord, 'v2']],
  'a record of a version that has left': [one, record, resume('r1'), [byRecord, 'v2']],
  'a record whose version is not known': [one, unknown, resume('r1'), [none, undefined]],
  'no record, one version': [one, undefined, resume('r1'), [sole, 'v1']],
  'no record, two keys': [{ ...two, servers: ['v1'] }, undefined, resume('r1'), [none]],
  'no record, another version registered': [mixed, undefined, resume('r1'), [none]],
  'no record, no key': [{ keys: [], servers: ['v1'] }, undefined, resume('r1'), [none]],
  'no record, no server known': [{ ...one, servers: [] }, undefined, resume('r1'), [sole, 'v1']],
  'no Resumes, two versions': [two, record, resume(), [none]],
  'no Resumes, one version': [one, record, resume(), [sole, 'v1']],
  'a malformed record, two versions': [two, { version: 2 }, resume('r1'), [none]],
  'a malformed record, one version': [one, ['v2'], resume('r1'), [none]],
  "another organisation's id": [two, record, resume('r1', 'other'), [none]],
};
for (const [name, [setup, stored, request, [source, version]]] of Object.entries(findings))
  t.test(`a take-up with ${name}: ${source}`, async (t) => {
    const { versions, put } = await openVersions(setup);
    if (stored !== undefined) put(key, stored);
    const finding = await versions.findVersion(request);
    t.equal(finding.source, source);
    t.equal(finding.version, version);
  });

t.test('a malformed version key counts as no version', async (t) => {
  const { versions, put } = await openVersions({ keys: [], servers: ['v1'] });
  put(buildVersionKey({ service: SERVICE, version: 'v1' }), {
    service: SERVICE,
    version: 1,
    epoch: 1,
  });
  t.equal((await versions.findVersion(resume('r1'))).source, none);
});

for (const store of [StoreState.down, StoreState.silent])
  for (const [name, setup, ageMs, expected] of [
    ['one version', one, 1000, sole],
    ['one version and an old list', one, 1001, none],
    ['two versions', two, 0, none],
    ['a second version registered', mixed, 0, none],
  ] as const)
    t.test(`with the store ${store} and ${name}, streams of others: ${expected}`, async (t) => {
      const { versions, state } = await openVersions(setup);
      versions.recordBegun(buildRequest({ id: 'own' }), buildServer('v2'));
      Object.assign(state, { store, ageMs });
      const own = await versions.findVersion(resume('own'));
      t.strictSame([own.source, own.version], [host, 'v2']);
      t.equal((await versions.findVersion(resume('r1'))).source, expected);
    });

t.test('a store that is known to be away is not asked', async (t) => {
  const { versions, state, outage, clock } = await openVersions();
  outage.recordFailure({ task: 'watch', askedAtMs: 0, mayWaitForOthers: false });
  clock.nowMs = 100;
  state.store = StoreState.silent;
  const startedAtMs = performance.now();
  const finding = await versions.findVersion(resume('r1'));
  t.ok(performance.now() - startedAtMs < 100);
  t.notOk(finding.isStoreRead);
  Object.assign(state, { store: StoreState.well });
  clock.nowMs = 2000; // nothing else has found out that the store is back
  t.ok((await versions.findVersion(resume('r1'))).isStoreRead);
  t.equal(outage.getFailingMs(), 0);
});
