import { setTimeout as wait } from 'node:timers/promises';
import { createPause } from '../../common/createPause.js';
import { isAborted } from '../../common/isAborted.js';
import { computeElectionDelayMs } from '../../decisions/leadership/computeElectionDelayMs/index.js';
import { mayAcquireLeadership } from '../../decisions/leadership/mayAcquireLeadership/index.js';
import { decodeRevision } from '../../decisions/storeEpochs/decodeRevision/index.js';
import { isLeaseValid } from '../../decisions/leadership/isLeaseValid/index.js';
import { formatError } from '../../errors/index.js';
import { TransactionResult, type StoreChange, type StoreItem } from '../../ports/fleetStore.js';
import { watchPrefix } from '../watchPrefix/index.js';
import {
  applyStoreChange,
  LEADER_KEY,
  LEADERS_PREFIX,
  listLeadershipConditions,
  FLEET_PREFIX,
  LAST_LEADER_KEY,
  QUARANTINE_KEY,
  type FleetState,
} from './_lib/fleetState.js';
import { createHandover } from './_lib/createHandover.js';
import { createHeldLease } from './_lib/createHeldLease.js';
import { createPauseDetector } from './_lib/createPauseDetector.js';
import { maintainRegistration } from './_lib/maintainRegistration.js';
import { dropEntries } from './_lib/dropEntries.js';
import { writePartGroups } from './_lib/writePartGroups.js';

import type { MaintainMembershipOptions, Membership } from './types.js';

export type { FleetHost, RegisteredHost } from './_lib/fleetState.js';
export type * from './types.js';

const WATCH_PAUSE_MS = 200;
/** Bounds the time for which a watch on a connection that went silent is trusted. */
const WATCH_TIMEOUT_MS = 8000;
const HANDOVER_RETRY_BACKOFF_MS = 300; // calls are billed even while the store is unavailable
const MAX_ATTEMPT_INTERVALS = 4; // intervals of renewal between failed attempts to lead
const RENEWAL_SPREAD_MS = 1000; // all hosts register again after the store was restored
const RENEWALS_PER_LEASE = 4; // two lost renewals still leave LEASE_MARGIN_MS for orders

/** Keeps this host registered, follows the other hosts, and runs for leader when nobody leads. */
export function maintainMembership(options: MaintainMembershipOptions): Membership {
  const { store, clock, log, random, self, incarnation, signal, feed } = options;
  const state: FleetState = {
    hosts: new Map(),
    lastLeader: { holder: '', epoch: 0 },
    lastHolderRevision: 0,
    partGroups: [],
    hasSnapshot: false,
  };
  const ownRecord = { holder: self.name, address: self.address, incarnation };
  const watchPause = createPause();
  const handover = createHandover({ ...options, state });
  let fence: number | undefined;
  let isLeaving = false;
  let isElecting = false;
  let failedAttempts = 0;
  /** Whether this host has read the fleet's keys, in any epoch of the store. */
  let hasRead = false;
  /** Whether the next list is the first one since the store was restored. */
  let isCopyUnread = false;
  /** Epoch of the last leadership of this process. */
  let ledEpoch: number | undefined;

  const leaderLease = createHeldLease({
    store,
    clock,
    log,
    purpose: 'leadership',
    ttlMs: options.leaderTtlMs,
    onExpired: () => setFencingToken(undefined),
    onStoreResponse: options.outage.recordResponse,
  });

  const pauses = createPauseDetector(clock, (pauseMs) => {
    log.warn({ gapMs: Math.round(pauseMs) }, 'process paused, lease needs renewal');
    leaderLease.invalidate();
  });

  const setFencingToken = (next: number | undefined): void => {
    if (fence === next) return;
    fence = next;
    if (next === undefined) pauses.stop();
    else pauses.start();
    log.info(
      { fence, lastLeader: state.lastLeader },
      next === undefined ? 'leadership lost' : 'leadership acquired',
    );
    options.onLeadershipChange(next);
    watchPause.end();
  };

  /** Leads exactly while the leader's entry names this process, even if that was written late. */
  const updateLeadership = (): void => {
    const { command } = state;
    const isOwn =
      command?.holder === self.name &&
      command.incarnation === incarnation &&
      command.lease === leaderLease.getId();
    if (!isOwn) {
      setFencingToken(undefined);
      return;
    }
    if (fence === command.revision) return;
    ledEpoch = decodeRevision(command.revision).epoch;
    setFencingToken(command.revision);
    if (handover.isNeeded()) void completeHandover(command.revision);
  };

  /** Waits for the handover, then records this host as the one that sends orders. */
  const completeHandover = async (revision: number): Promise<void> => {
    await wait(handover.computeWaitMs(), undefined, { signal }).catch(() => undefined);
    while (fence === revision && handover.isNeeded() && !isAborted(signal)) {
      try {
        const { result } = await store.transact({
          conditions: listLeadershipConditions(incarnation, revision),
          writes: [{ key: LAST_LEADER_KEY, value: handover.encodeRecord() }],
        });
        if (result !== TransactionResult.done) {
          log.warn({ fence: revision, result }, 'handover not stored, leadership has changed');
          return;
        }
        state.lastLeader = { holder: self.name, epoch: store.getEpoch() };
        log.info({ fence: revision }, 'handover completed, orders may be sent');
      } catch (error) {
        log.warn({ fence: revision, error: formatError(error) }, 'handover not stored, retrying');
        await wait(HANDOVER_RETRY_BACKOFF_MS, undefined, { signal }).catch(() => undefined);
      }
    }
  };

  const mayRunForLeader = (): boolean =>
    !isLeaving &&
    state.hasSnapshot &&
    registration.isRegistered() &&
    !feed.isFeedActive() &&
    (isOwnEntryOfCopy() || mayAcquireLeadership(state.command, ownRecord));

  /** Whether the leader's entry is one of this process from before the store was restored. */
  const isOwnEntryOfCopy = (): boolean =>
    fence === undefined &&
    state.command?.incarnation === incarnation &&
    ledEpoch !== undefined &&
    ledEpoch < decodeRevision(state.command.revision).epoch;

  const computeOwnElectionDelayMs = (): number => {
    // No handover is needed when this host leads again.
    if (state.lastLeader.holder === self.name || handover.isContinuing()) return 0;
    const revision = state.hosts.get(self.name)?.revision ?? 0;
    return computeElectionDelayMs({ ...self, revision }, [...state.hosts.values()], random());
  };

  const acquireLeadership = async (): Promise<void> => {
    await wait(computeOwnElectionDelayMs(), undefined, { signal });
    if (!mayRunForLeader()) return;
    const lease = await leaderLease.acquire();
    const lastLeader = { key: LAST_LEADER_KEY, value: handover.encodeRecord() };
    const ownEntry = { key: LEADERS_PREFIX + incarnation, value: '{}', lease };
    const entry = { key: LEADER_KEY, value: JSON.stringify(ownRecord), lease };
    const { result, revision } = await store.transact({
      conditions: [
        { key: LEADER_KEY, revision: state.command?.revision ?? 0 },
        { key: LAST_LEADER_KEY, revision: state.lastHolderRevision },
      ],
      writes: [entry, ownEntry, ...(handover.isNeeded() ? [] : [lastLeader])],
    });
    if (result === TransactionResult.done) {
      applyStoreChange(state, { ...entry, value: Buffer.from(entry.value), revision }, log);
      updateLeadership();
      return;
    }
    if (result === TransactionResult.leaseEnded) leaderLease.drop();
    // The known state is outdated.
    state.hasSnapshot = false;
    watchPause.end();
  };

  const tryAcquireLeadership = async (): Promise<void> => {
    if (isElecting || !mayRunForLeader()) return;
    isElecting = true;
    try {
      await acquireLeadership();
      failedAttempts = 0;
    } catch (error) {
      if (isAborted(signal)) return;
      failedAttempts += 1;
      log.warn({ failedAttempts, error: formatError(error) }, 'leadership attempt failed');
    } finally {
      isElecting = false;
    }
  };

  const maintainLeadership = async (): Promise<void> => {
    while (!isAborted(signal) && !isLeaving) {
      // What was read before the leader passed changes on is outdated once the feed ends.
      if (feed.isFeedActive()) state.hasSnapshot = false;
      if (fence === undefined) await tryAcquireLeadership();
      else await leaderLease.renew();
      const intervals =
        fence === undefined ? Math.min(MAX_ATTEMPT_INTERVALS, 1 + failedAttempts) : 1;
      const waitMs = (intervals * options.leaderTtlMs) / RENEWALS_PER_LEASE;
      await wait(waitMs, undefined, { signal }).catch(() => undefined);
    }
  };

  const applyChanges = (changes: readonly StoreChange[]): void => {
    const before = [...state.hosts.keys()].join();
    const { partGroups } = state;
    for (const change of changes) applyStoreChange(state, change, log);
    state.hasSnapshot = true;
    hasRead = true;
    // A new leader starts with them.
    if (state.partGroups !== partGroups) options.onPartGroups(state.partGroups);
    updateLeadership();
    const hosts = [...state.hosts.values()];
    if (before !== [...state.hosts.keys()].join()) {
      log.info({ count: hosts.length }, 'registered hosts changed');
      options.onHosts(hosts);
    }
    if (!state.hosts.has(self.name)) registration.renewNow();
    void tryAcquireLeadership();
  };

  const registration = maintainRegistration({
    ...options,
    ttlMs: options.registrationTtlMs,
  });
  void maintainLeadership();
  void watchPrefix({
    store,
    prefix: FLEET_PREFIX,
    clock,
    log,
    signal,
    random,
    watchTimeoutMs: WATCH_TIMEOUT_MS,
    pauseMs: WATCH_PAUSE_MS,
    isWatchOptional: true,
    mayWaitForOthers: true,
    pause: watchPause,
    onSnapshot: (items: StoreItem[]) => {
      const isCopy = isCopyUnread;
      isCopyUnread = false;
      state.hosts.clear();
      state.command = undefined;
      state.lastLeader = { holder: '', epoch: 0 };
      state.lastHolderRevision = 0;
      // What this host knows of the quarantine is newer than a copy of the store.
      applyChanges(isCopy ? items.filter(({ key }) => key !== QUARANTINE_KEY) : items);
    },
    onChanges: applyChanges,
    feed,
    outage: options.outage,
  });

  store.onEpochChange((epoch) => {
    const wasLeading = isLeadershipConfirmed();
    handover.recordRestore(wasLeading ? ledEpoch : undefined);
    log.warn({ epoch, wasLeading }, 'store was restored, joining the fleet again');
    isCopyUnread = hasRead;
    state.hasSnapshot = false;
    leaderLease.drop();
    setFencingToken(undefined);
    registration.renewWithin(wasLeading ? 0 : RENEWAL_SPREAD_MS);
    watchPause.end();
  });

  const isLeadershipConfirmed = (): boolean => {
    const timing = leaderLease.getTiming();
    if (fence === undefined || timing === undefined) return false;
    const lastTickAtMs = pauses.getLastTickAtMs();
    return isLeaseValid({ ...timing, lastTickAtMs }, clock.monotonicMs(), clock.wallMs());
  };

  return {
    listHosts: () => [...state.hosts.values()],
    isLeadershipConfirmed,
    confirmLeadership: async () => {
      if (fence === undefined || handover.isNeeded()) return false;
      return isLeadershipConfirmed() || ((await leaderLease.renew()) && isLeadershipConfirmed());
    },
    writePartGroups: (groups) => writePartGroups(options, fence, groups),
    leave: async () => {
      isLeaving = true;
      const leadership = fence === undefined ? [] : listLeadershipConditions(incarnation, fence);
      const ownEntry = registration.getCondition();
      leaderLease.drop();
      setFencingToken(undefined);
      registration.leave();
      await Promise.all(
        [leadership, ownEntry === undefined ? [] : [ownEntry]].map((conditions) =>
          dropEntries(options, conditions),
        ),
      );
    },
  };
}
