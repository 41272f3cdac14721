import { setTimeout as wait } from 'node:timers/promises';
import { isAborted } from '../../common/isAborted.js';
import { computeElectionDelayMs } from '../../decisions/leadership/computeElectionDelayMs/index.js';
import { mayAcquireLeadership } from '../../decisions/leadership/mayAcquireLeadership/index.js';
import {
  isLeaseValid,
  MAX_TICK_GAP_MS,
  type LeaderLease,
} from '../../decisions/leadership/isLeaseValid/index.js';
import { formatError } from '../../errors/index.js';
import type { Clock } from '../../ports/clock.js';
import {
  TransactionResult,
  type FleetStore,
  type StoreChange,
  type StoreItem,
} from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';
import { watchPrefix, type LeaderFeed } from '../watchPrefix/index.js';
import {
  applyStoreChange,
  LEADER_KEY,
  FLEET_PREFIX,
  HOSTS_PREFIX,
  LAST_LEADER_KEY,
  type FleetHost,
  type FleetState,
} from './_lib/fleetState.js';

export type { FleetHost } from './_lib/fleetState.js';

/** This host's part in the fleet: its entry, the other hosts, and the command over engines. */
export interface Membership {
  listHosts: () => FleetHost[];
  /** Makes sure that this host may order now, with the store where needed. */
  confirmLeadership: () => Promise<boolean>;
  /** Gives up the entry and the command. */
  leave: () => Promise<void>;
}

/** Options of keeping this host's membership. */
export interface MaintainMembershipOptions {
  store: FleetStore;
  clock: Clock;
  log: Log;
  random: () => number;
  self: FleetHost;
  incarnation: string;
  /** Term of the lease in milliseconds. */
  ttlMs: number;
  /** Time in which two holders must not take turns. */
  handoverMs: number;
  signal: AbortSignal;
  feed: LeaderFeed;
  onStoreResponse: () => void;
  onHosts: (hosts: FleetHost[]) => void;
  onLeadershipChange: (fence: number | undefined) => void;
}

const WATCH_PAUSE_MS = 200;
const TICK_MS = 100; // four ticks within the longest gap that is taken for running
const CONFIRM_RETRY_MS = 300; // calls to a store that is away are paid too
const RENEWALS_A_TERM = 4; // two lost renewals are survived, and the margin for orders is kept

/** Keeps this host listed, follows the other hosts, and takes the command when nobody holds it. */
export function maintainMembership(options: MaintainMembershipOptions): Membership {
  const { store, clock, log, random, self, incarnation, ttlMs, handoverMs, signal } = options;
  const known: FleetState = {
    hosts: new Map(),
    lastHolder: '',
    lastHolderRevision: 0,
    isListed: false,
  };
  const own = { holder: self.name, address: self.address, incarnation };
  let lease: (Omit<LeaderLease, 'lastTickAtMs'> & { id: number }) | undefined;
  let fence: number | undefined;
  let isLeaving = false;
  let lastTickAtMs = clock.monotonicMs();
  let renewing: Promise<boolean> | undefined;

  /** Notices pauses of this process, which matter while it holds the command. */
  const tick = (): void => {
    const nowMs = clock.monotonicMs();
    if (nowMs - lastTickAtMs > MAX_TICK_GAP_MS) {
      log.warn({ gapMs: Math.round(nowMs - lastTickAtMs) }, 'this process was paused');
      // What was true of the lease before the pause is known no more.
      if (lease !== undefined) lease.renewedAtMs = -Infinity;
    }
    lastTickAtMs = nowMs;
  };
  let ticks: NodeJS.Timeout | undefined;

  const setFence = (next: number | undefined): void => {
    if (fence === next) return;
    fence = next;
    clearInterval(ticks);
    lastTickAtMs = clock.monotonicMs();
    if (next !== undefined) ticks = setInterval(tick, TICK_MS).unref();
    log.info(
      { fence, lastHolder: known.lastHolder },
      next === undefined ? 'command lost' : 'command taken',
    );
    options.onLeadershipChange(next);
  };

  const loseLease = (): void => {
    lease = undefined;
    setFence(undefined);
  };

  const grant = async (): Promise<void> => {
    const renewedAtMs = clock.monotonicMs();
    const renewedAtWallMs = clock.wallMs();
    const granted = await store.grantLease(ttlMs);
    const writes = [
      {
        key: `${HOSTS_PREFIX}${self.name}`,
        value: JSON.stringify({
          address: self.address,
          port: self.port,
          linkMbps: self.linkMbps,
          incarnation,
        }),
        lease: granted.lease,
      },
    ];
    await store.transact({ conditions: [], writes });
    lease = { id: granted.lease, ttlMs: granted.ttlMs, renewedAtMs, renewedAtWallMs };
    log.info({ lease: granted.lease, ttlMs: granted.ttlMs }, 'listed in the fleet');
  };

  const renew = async (): Promise<boolean> => {
    if (lease === undefined) return false;
    const current = lease;
    const renewedAtMs = clock.monotonicMs();
    const renewedAtWallMs = clock.wallMs();
    const isAlive = await store.renewLease(current.id);
    if (!isAlive) {
      log.warn(
        { lease: current.id, ageMs: Math.round(renewedAtMs - current.renewedAtMs) },
        'lease ended',
      );
      if (lease === current) loseLease();
      return false;
    }
    current.renewedAtMs = renewedAtMs;
    current.renewedAtWallMs = renewedAtWallMs;
    return true;
  };

  const renewOnce = (): Promise<boolean> => {
    renewing ??= renew()
      .catch((error: unknown) => {
        log.warn({ error: formatError(error) }, 'lease not renewed');
        return false;
      })
      .finally(() => {
        renewing = undefined;
      });
    return renewing;
  };

  /** Takes over a command key that bears this process's name, also when the write was done late. */
  const adoptCommand = (): void => {
    const { command } = known;
    const isOwn = command?.holder === self.name && command.incarnation === incarnation;
    if (!isOwn) {
      setFence(undefined);
      return;
    }
    if (fence === command.revision) return;
    setFence(command.revision);
    if (mayHaveOrdered(known.lastHolder)) void finishHandover(command.revision);
  };

  /** Tells whether orders of another host may be on their way. */
  const mayHaveOrdered = (host: string): boolean => host !== '' && host !== self.name;

  /** Waits until the orders of the host before are over, and then names this host as the one that orders. */
  const finishHandover = async (revision: number): Promise<void> => {
    await wait(handoverMs, undefined, { signal }).catch(() => undefined);
    while (fence === revision && mayHaveOrdered(known.lastHolder) && !isAborted(signal)) {
      try {
        const { result } = await store.transact({
          conditions: [{ key: LEADER_KEY, revision }],
          writes: [{ key: LAST_LEADER_KEY, value: JSON.stringify({ holder: self.name }) }],
        });
        if (result !== TransactionResult.done) return;
        known.lastHolder = self.name;
        log.info({ fence: revision }, 'handover is over, orders may be sent');
      } catch (error) {
        log.warn({ fence: revision, error: formatError(error) }, 'handover not recorded');
        await wait(CONFIRM_RETRY_MS, undefined, { signal }).catch(() => undefined);
      }
    }
  };

  const isFree = (): boolean =>
    !isLeaving && known.isListed && mayAcquireLeadership(known.command, own);

  const computeContention = (): number => {
    // Nobody has to wait out a handover after this host.
    if (known.lastHolder === self.name) return 0;
    const revision = known.hosts.get(self.name)?.revision ?? 0;
    return computeElectionDelayMs({ ...self, revision }, [...known.hosts.values()], random());
  };

  const takeCommand = async (): Promise<void> => {
    if (lease === undefined || !isFree()) return;
    await wait(computeContention(), undefined, { signal });
    if (!isFree()) return;
    const lastHolder = { key: LAST_LEADER_KEY, value: JSON.stringify({ holder: self.name }) };
    const { result } = await store.transact({
      conditions: [
        { key: LEADER_KEY, revision: known.command?.revision ?? 0 },
        { key: LAST_LEADER_KEY, revision: known.lastHolderRevision },
      ],
      writes: [
        {
          key: LEADER_KEY,
          value: JSON.stringify(own),
          lease: lease.id,
        },
        ...(mayHaveOrdered(known.lastHolder) ? [] : [lastHolder]),
      ],
    });
    if (result === TransactionResult.leaseEnded) loseLease();
  };

  const keepLease = async (): Promise<void> => {
    while (!isAborted(signal)) {
      try {
        if (isLeaving) return;
        if (lease === undefined) await grant();
        else await renewOnce();
        await takeCommand();
      } catch (error) {
        if (!isAborted(signal)) log.warn({ error: formatError(error) }, 'membership not renewed');
      }
      await wait(ttlMs / RENEWALS_A_TERM, undefined, { signal }).catch(() => undefined);
    }
  };

  const applyChanges = (changes: readonly StoreChange[]): void => {
    const before = [...known.hosts.keys()].join();
    for (const change of changes) applyStoreChange(known, change, log);
    known.isListed = true;
    adoptCommand();
    const hosts = [...known.hosts.values()];
    if (before !== [...known.hosts.keys()].join()) {
      log.info({ hosts: hosts.map(({ name }) => name) }, 'hosts of the fleet changed');
      options.onHosts(hosts);
    }
    if (isFree())
      takeCommand().catch((error: unknown) =>
        log.warn({ error: formatError(error) }, 'command not taken'),
      );
  };

  void keepLease();
  void watchPrefix({
    store,
    prefix: FLEET_PREFIX,
    log,
    signal,
    pauseMs: WATCH_PAUSE_MS,
    onSnapshot: (items: StoreItem[]) => {
      known.hosts.clear();
      known.command = undefined;
      applyChanges(items);
    },
    onChanges: applyChanges,
    onStoreResponse: options.onStoreResponse,
    feed: options.feed,
  });

  return {
    listHosts: () => [...known.hosts.values()],
    confirmLeadership: async () => {
      if (fence === undefined || lease === undefined) return false;
      if (mayHaveOrdered(known.lastHolder)) return false;
      const isSure = (): boolean =>
        fence !== undefined &&
        lease !== undefined &&
        isLeaseValid({ ...lease, lastTickAtMs }, clock.monotonicMs(), clock.wallMs());
      if (isSure()) return true;
      return (await renewOnce()) && isSure();
    },
    leave: async () => {
      isLeaving = true;
      if (lease === undefined) return;
      const { id } = lease;
      loseLease();
      await store.endLease(id).catch((error: unknown) => {
        log.warn({ error: formatError(error) }, 'lease not ended, it runs out by itself');
      });
    },
  };
}
