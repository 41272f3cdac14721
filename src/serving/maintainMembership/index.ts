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

/** This host's membership: its registration, the other hosts and the leadership of the fleet. */
export interface Membership {
  listHosts: () => FleetHost[];
  /** Confirms that this host is leader and may send orders, renewing its lease if needed. */
  confirmLeadership: () => Promise<boolean>;
  /** Ends the lease, and with it the registration and the leadership. */
  leave: () => Promise<void>;
}

/** Options of `maintainMembership`. */
export interface MaintainMembershipOptions {
  store: FleetStore;
  clock: Clock;
  log: Log;
  random: () => number;
  self: FleetHost;
  incarnation: string;
  /** Duration of the lease. */
  ttlMs: number;
  /** Time after a change of leader until orders of the previous one can no longer take effect. */
  handoverMs: number;
  signal: AbortSignal;
  feed: LeaderFeed;
  onStoreResponse: () => void;
  onHosts: (hosts: FleetHost[]) => void;
  /** Called with the fencing token when this host starts to lead, undefined when it stops. */
  onLeadershipChange: (fence: number | undefined) => void;
}

const WATCH_PAUSE_MS = 200;
const TICK_INTERVAL_MS = 100; // four ticks fit into MAX_TICK_GAP_MS
const HANDOVER_RETRY_BACKOFF_MS = 300; // calls are billed even while the store is unavailable
const RENEWALS_PER_LEASE = 4; // two lost renewals still leave LEASE_MARGIN_MS for orders

/** Keeps this host registered, watches the other hosts, and runs for leader when nobody leads. */
export function maintainMembership(options: MaintainMembershipOptions): Membership {
  const { store, clock, log, random, self, incarnation, ttlMs, handoverMs, signal } = options;
  const state: FleetState = {
    hosts: new Map(),
    lastHolder: '',
    lastHolderRevision: 0,
    hasSnapshot: false,
  };
  const ownRecord = { holder: self.name, address: self.address, incarnation };
  let lease: (Omit<LeaderLease, 'lastTickAtMs'> & { id: number }) | undefined;
  let fence: number | undefined;
  let isLeaving = false;
  let lastTickAtMs = clock.monotonicMs();
  let renewing: Promise<boolean> | undefined;

  /** Detects pauses of this process, during which its leadership may have expired. */
  const tick = (): void => {
    const nowMs = clock.monotonicMs();
    if (nowMs - lastTickAtMs > MAX_TICK_GAP_MS) {
      log.warn({ gapMs: Math.round(nowMs - lastTickAtMs) }, 'process paused, lease needs renewal');
      // The lease may have expired during the pause.
      if (lease !== undefined) lease.renewedAtMs = -Infinity;
    }
    lastTickAtMs = nowMs;
  };
  let tickTimer: NodeJS.Timeout | undefined;

  const setFencingToken = (next: number | undefined): void => {
    if (fence === next) return;
    fence = next;
    clearInterval(tickTimer);
    lastTickAtMs = clock.monotonicMs();
    if (next !== undefined) tickTimer = setInterval(tick, TICK_INTERVAL_MS).unref();
    log.info(
      { fence, lastHolder: state.lastHolder },
      next === undefined ? 'leadership lost' : 'leadership acquired',
    );
    options.onLeadershipChange(next);
  };

  const dropLease = (): void => {
    lease = undefined;
    setFencingToken(undefined);
  };

  const register = async (): Promise<void> => {
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
    log.info({ lease: granted.lease, ttlMs: granted.ttlMs }, 'host registered');
  };

  const renewLease = async (): Promise<boolean> => {
    if (lease === undefined) return false;
    const current = lease;
    const renewedAtMs = clock.monotonicMs();
    const renewedAtWallMs = clock.wallMs();
    const isRenewed = await store.renewLease(current.id);
    if (!isRenewed) {
      log.warn(
        { lease: current.id, ageMs: Math.round(renewedAtMs - current.renewedAtMs) },
        'lease expired',
      );
      if (lease === current) dropLease();
      return false;
    }
    current.renewedAtMs = renewedAtMs;
    current.renewedAtWallMs = renewedAtWallMs;
    return true;
  };

  const renewLeaseOnce = (): Promise<boolean> => {
    renewing ??= renewLease()
      .catch((error: unknown) => {
        log.warn({ error: formatError(error) }, 'lease renewal failed');
        return false;
      })
      .finally(() => {
        renewing = undefined;
      });
    return renewing;
  };

  /** Leads exactly while the leader's entry names this process, even if that was written late. */
  const updateLeadership = (): void => {
    const { command } = state;
    const isOwn = command?.holder === self.name && command.incarnation === incarnation;
    if (!isOwn) {
      setFencingToken(undefined);
      return;
    }
    if (fence === command.revision) return;
    setFencingToken(command.revision);
    if (mayHaveOrdersInFlight(state.lastHolder)) void completeHandover(command.revision);
  };

  /** Tells whether orders of the given host may be in flight and are not this host's own. */
  const mayHaveOrdersInFlight = (host: string): boolean => host !== '' && host !== self.name;

  /** Waits for the handover, then records this host as the one that sends orders. */
  const completeHandover = async (revision: number): Promise<void> => {
    await wait(handoverMs, undefined, { signal }).catch(() => undefined);
    while (fence === revision && mayHaveOrdersInFlight(state.lastHolder) && !isAborted(signal)) {
      try {
        const { result } = await store.transact({
          conditions: [{ key: LEADER_KEY, revision }],
          writes: [{ key: LAST_LEADER_KEY, value: JSON.stringify({ holder: self.name }) }],
        });
        if (result !== TransactionResult.done) return;
        state.lastHolder = self.name;
        log.info({ fence: revision }, 'handover completed, orders may be sent');
      } catch (error) {
        log.warn({ fence: revision, error: formatError(error) }, 'handover not stored, retrying');
        await wait(HANDOVER_RETRY_BACKOFF_MS, undefined, { signal }).catch(() => undefined);
      }
    }
  };

  const mayRunForLeader = (): boolean =>
    !isLeaving && state.hasSnapshot && mayAcquireLeadership(state.command, ownRecord);

  const computeOwnElectionDelayMs = (): number => {
    // No handover is needed when this host leads again.
    if (state.lastHolder === self.name) return 0;
    const revision = state.hosts.get(self.name)?.revision ?? 0;
    return computeElectionDelayMs({ ...self, revision }, [...state.hosts.values()], random());
  };

  const tryAcquireLeadership = async (): Promise<void> => {
    if (lease === undefined || !mayRunForLeader()) return;
    await wait(computeOwnElectionDelayMs(), undefined, { signal });
    if (!mayRunForLeader()) return;
    const lastHolder = { key: LAST_LEADER_KEY, value: JSON.stringify({ holder: self.name }) };
    const { result } = await store.transact({
      conditions: [
        { key: LEADER_KEY, revision: state.command?.revision ?? 0 },
        { key: LAST_LEADER_KEY, revision: state.lastHolderRevision },
      ],
      writes: [
        {
          key: LEADER_KEY,
          value: JSON.stringify(ownRecord),
          lease: lease.id,
        },
        ...(mayHaveOrdersInFlight(state.lastHolder) ? [] : [lastHolder]),
      ],
    });
    if (result === TransactionResult.leaseEnded) dropLease();
  };

  const maintainLease = async (): Promise<void> => {
    while (!isAborted(signal)) {
      try {
        if (isLeaving) return;
        if (lease === undefined) await register();
        else await renewLeaseOnce();
        await tryAcquireLeadership();
      } catch (error) {
        if (!isAborted(signal)) log.warn({ error: formatError(error) }, 'membership update failed');
      }
      await wait(ttlMs / RENEWALS_PER_LEASE, undefined, { signal }).catch(() => undefined);
    }
  };

  const applyChanges = (changes: readonly StoreChange[]): void => {
    const before = [...state.hosts.keys()].join();
    for (const change of changes) applyStoreChange(state, change, log);
    state.hasSnapshot = true;
    updateLeadership();
    const hosts = [...state.hosts.values()];
    if (before !== [...state.hosts.keys()].join()) {
      log.info({ hosts: hosts.map(({ name }) => name) }, 'registered hosts changed');
      options.onHosts(hosts);
    }
    if (mayRunForLeader())
      tryAcquireLeadership().catch((error: unknown) =>
        log.warn({ error: formatError(error) }, 'leadership attempt failed'),
      );
  };

  void maintainLease();
  void watchPrefix({
    store,
    prefix: FLEET_PREFIX,
    log,
    signal,
    pauseMs: WATCH_PAUSE_MS,
    onSnapshot: (items: StoreItem[]) => {
      state.hosts.clear();
      state.command = undefined;
      applyChanges(items);
    },
    onChanges: applyChanges,
    onStoreResponse: options.onStoreResponse,
    feed: options.feed,
  });

  return {
    listHosts: () => [...state.hosts.values()],
    confirmLeadership: async () => {
      if (fence === undefined || lease === undefined) return false;
      if (mayHaveOrdersInFlight(state.lastHolder)) return false;
      const isConfirmed = (): boolean =>
        fence !== undefined &&
        lease !== undefined &&
        isLeaseValid({ ...lease, lastTickAtMs }, clock.monotonicMs(), clock.wallMs());
      if (isConfirmed()) return true;
      return (await renewLeaseOnce()) && isConfirmed();
    },
    leave: async () => {
      isLeaving = true;
      if (lease === undefined) return;
      const { id } = lease;
      dropLease();
      await store.endLease(id).catch((error: unknown) => {
        log.warn({ error: formatError(error) }, 'ending the lease failed, it will expire');
      });
    },
  };
}
