import t from 'tap';
import { decodeRevision } from '../../decisions/storeEpochs/decodeRevision/index.js';
import { encodeRevision } from '../../decisions/storeEpochs/encodeRevision/index.js';
import { createStoreOutage } from '../createStoreOutage/index.js';
import {
  TransactionResult,
  type FleetStore,
  type StoreChange,
  type StoreItem,
} from '../../ports/fleetStore.js';
import { LAST_LEADER_KEY, listLeadershipConditions, QUARANTINE_KEY } from './_lib/fleetState.js';
import type { SavedPartGroup } from '../types.js';
import { maintainMembership, type MaintainMembershipOptions } from './index.js';

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
const POLL_MS = 2;

/** In-memory store whose leases never expire and end only on request. */
function createStore() {
  const items = new Map<string, StoreItem>();
  const changes: StoreChange[] = [];
  let revision = 1;
  let epoch = 0;
  const listeners: ((epoch: number) => void)[] = [];
  const put = (key: string, value: string, lease: number): void => {
    const item = { key, value: Buffer.from(value), revision, lease };
    items.set(key, item);
    changes.push(item);
  };
  const endLease = (lease: number): Promise<void> => {
    revision += 1;
    for (const item of [...items.values()])
      if (item.lease === lease && items.delete(item.key))
        changes.push({ key: item.key, revision, lease });
    return Promise.resolve();
  };
  const store: FleetStore = {
    list: () => Promise.resolve({ items: [...items.values()], hasMore: false, revision }),
    watch: async (_, after) => {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      if (decodeRevision(after).epoch !== epoch) return undefined;
      return { changes: changes.filter((change) => change.revision > after), revision };
    },
    transact: ({ conditions, writes, removals = [] }) => {
      const isMet = conditions.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
      if (!isMet) return Promise.resolve({ result: TransactionResult.conflict, revision: 0 });
      revision += 1;
      for (const { key, value, lease = 0 } of writes) put(key, value, lease);
      for (const key of removals) if (items.delete(key)) changes.push({ key, revision, lease: 0 });
      return Promise.resolve({ result: TransactionResult.done, revision });
    },
    grantLease: () => Promise.resolve({ lease: (revision += 1), ttlMs: 60_000 }),
    renewLease: () => Promise.resolve(true),
    getEpoch: () => epoch,
    onEpochChange: (listener) => void listeners.push(listener),
    close: () => Promise.resolve(),
  };
  /** Ends all leases and drops the given keys, as a copy that is older than these; revisions rise. */
  const restore = async (keys: readonly string[]): Promise<void> => {
    epoch += 1;
    revision = encodeRevision(epoch, 1);
    for (const { lease } of [...items.values()]) if (lease !== 0) await endLease(lease);
    for (const key of keys) items.delete(key);
    for (const listener of listeners) listener(epoch);
  };
  return { store, endLease, restore, put, read: (key: string) => items.get(key) };
}

type Store = ReturnType<typeof createStore>;

function openMembership(
  fleet: Store,
  name: string,
  change: Partial<MaintainMembershipOptions> = {},
) {
  const stop = new AbortController();
  let fence: number | undefined;
  const membership = maintainMembership({
    store: fleet.store,
    clock: { monotonicMs: () => 0, wallMs: () => 0 },
    log: silentLog,
    random: () => 0,
    self: { name, address: `address-${name}`, port: 1, linkMbps: 100 },
    incarnation: 'first',
    isFirstStart: true,
    leaderTtlMs: 60_000,
    registrationTtlMs: 60_000,
    handoverMs: 5,
    signal: stop.signal,
    outage: createStoreOutage(),
    feed: {
      isFeedActive: () => false,
      waitUntilFeedEnds: () => Promise.resolve(),
      isWatcher: () => true,
    },
    onHosts: () => undefined,
    onPartGroups: () => undefined,
    onLeadershipChange: (next) => {
      fence = next;
    },
    ...change,
  });
  return { membership, getFence: () => fence, stop: () => stop.abort() };
}

async function waitFor(isDone: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await isDone())) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
}

t.test('confirms leadership without a handover when no leader came before', async (t) => {
  const fleet = createStore();
  const first = openMembership(fleet, 'one');
  t.teardown(first.stop);
  await waitFor(() => first.getFence() !== undefined);
  t.ok(await first.membership.confirmLeadership());
});

t.test(
  'takes over the leadership of its previous process while that lease still runs',
  async (t) => {
    const fleet = createStore();
    const before = openMembership(fleet, 'one');
    await waitFor(() => before.getFence() !== undefined);
    const fence = before.getFence() ?? 0;
    before.stop();
    const after = openMembership(fleet, 'one', { incarnation: 'second', handoverMs: 60_000 });
    t.teardown(after.stop);
    await waitFor(() => after.getFence() !== undefined);
    t.ok((after.getFence() ?? 0) > fence, 'with a higher fencing token');
    t.ok(await after.membership.confirmLeadership(), 'without a handover');
  },
);

t.test('waits for the handover after another leader and then records itself', async (t) => {
  const fleet = createStore();
  const first = openMembership(fleet, 'one');
  await waitFor(() => first.getFence() !== undefined);
  first.stop();
  await fleet.endLease(fleet.read('bronzelanding/command')?.lease ?? 0);
  const other = openMembership(fleet, 'two');
  t.teardown(other.stop);
  await waitFor(() => other.getFence() !== undefined);
  t.match(fleet.read('bronzelanding/last-holder')?.value.toString(), 'one');
  t.notOk(await other.membership.confirmLeadership());
  await waitFor(() => other.membership.confirmLeadership());
  t.match(fleet.read('bronzelanding/last-holder')?.value.toString(), 'two');
});

t.test('waits again when a restart interrupted the handover', async (t) => {
  const fleet = createStore();
  const first = openMembership(fleet, 'one');
  await waitFor(() => first.getFence() !== undefined);
  first.stop();
  await fleet.endLease(fleet.read('bronzelanding/command')?.lease ?? 0);
  const killed = openMembership(fleet, 'two', { handoverMs: 60_000 });
  await waitFor(() => killed.getFence() !== undefined);
  killed.stop();
  const restarted = openMembership(fleet, 'two', { incarnation: 'second', handoverMs: 60_000 });
  t.teardown(restarted.stop);
  await waitFor(
    () => restarted.getFence() !== undefined && restarted.getFence() !== killed.getFence(),
  );
  t.notOk(await restarted.membership.confirmLeadership());
});

t.test('leaves the first leadership to a host with a faster link', async (t) => {
  const fleet = createStore();
  const weakSelf = { name: 'weak', address: 'address-weak', port: 1, linkMbps: 7 };
  const weak = openMembership(fleet, 'weak', { self: weakSelf });
  await waitFor(() => fleet.read('bronzelanding/hosts/weak') !== undefined);
  const strong = openMembership(fleet, 'strong');
  t.teardown(weak.stop);
  t.teardown(strong.stop);
  await waitFor(() => fleet.read('bronzelanding/command') !== undefined);
  await waitFor(() => weak.getFence() !== undefined || strong.getFence() !== undefined);
  t.equal(weak.getFence(), undefined);
});

t.test('the process that led until a restore goes on without a handover', async (t) => {
  const fleet = createStore();
  const first = openMembership(fleet, 'one', { handoverMs: 60_000 });
  t.teardown(first.stop);
  await waitFor(() => first.membership.confirmLeadership());
  const before = first.getFence() ?? 0;
  await fleet.restore([LAST_LEADER_KEY]);
  t.equal(first.getFence(), undefined, 'the leadership ends with the epoch');
  await waitFor(() => first.getFence() !== undefined);
  t.ok((first.getFence() ?? 0) > before, 'with a higher fencing token');
  t.ok(await first.membership.confirmLeadership());
});

t.test('another host waits for the handover after a restore, whatever the copy says', async (t) => {
  const fleet = createStore();
  const first = openMembership(fleet, 'one');
  await waitFor(() => first.getFence() !== undefined);
  const other = openMembership(fleet, 'two', { handoverMs: 60_000 });
  t.teardown(other.stop);
  await waitFor(() => other.membership.listHosts().length === 2);
  first.stop();
  await fleet.restore([LAST_LEADER_KEY]);
  await waitFor(() => other.getFence() !== undefined);
  t.notOk(await other.membership.confirmLeadership());
});

t.test('hosts register again after a restore that has lost their entries', async (t) => {
  const fleet = createStore();
  const host = openMembership(fleet, 'one');
  t.teardown(host.stop);
  const key = 'bronzelanding/hosts/one';
  await waitFor(() => fleet.read(key) !== undefined);
  await fleet.restore([key]);
  await waitFor(() => fleet.read(key) !== undefined);
});

t.test('a host that leaves removes its entries and no lease', async (t) => {
  const fleet = createStore();
  const host = openMembership(fleet, 'one');
  t.teardown(host.stop);
  await waitFor(() => host.getFence() !== undefined);
  await host.membership.leave();
  t.equal(fleet.read('bronzelanding/command'), undefined);
  t.equal(fleet.read('bronzelanding/hosts/one'), undefined);
});

t.test('what a leader writes cannot be written over the entry of another one', async (t) => {
  const fleet = createStore();
  const host = openMembership(fleet, 'one');
  t.teardown(host.stop);
  await waitFor(() => host.getFence() !== undefined);
  const { revision = 0 } = fleet.read('bronzelanding/command') ?? {};
  const conditions = listLeadershipConditions('other', revision);
  const { result } = await fleet.store.transact({ conditions, writes: [] });
  t.equal(result, TransactionResult.conflict, 'although the revision of the entry is the same');
});

t.test('a quarantine of an older copy does not replace the one that a host knows', async (t) => {
  const fleet = createStore();
  let groups: readonly SavedPartGroup[] = [];
  const host = openMembership(fleet, 'one', {
    onPartGroups: (next) => {
      groups = next;
    },
  });
  t.teardown(host.stop);
  await waitFor(() => host.getFence() !== undefined);
  const known = [{ parts: ['bad'], crashes: 4, trials: 0, confirmations: 1, wasServed: false }];
  t.ok(await host.membership.writePartGroups(known));
  await waitFor(() => groups.length === 1);
  await fleet.restore([]);
  fleet.put(QUARANTINE_KEY, '[]', 0);
  await waitFor(() => host.getFence() !== undefined);
  t.match(groups, known);
  t.ok(await host.membership.writePartGroups(known), 'and the next leader stores it');
});
