import { setTimeout as wait } from 'node:timers/promises';
import { isAborted } from '../../../common/isAborted.js';
import { computeElectionDelayMs } from '../../../decisions/leadership/computeElectionDelayMs/index.js';
import { mayAcquireLeadership } from '../../../decisions/leadership/mayAcquireLeadership/index.js';
import { formatError } from '../../../errors/index.js';
import { TransactionResult } from '../../../ports/fleetStore.js';
import type { MaintainMembershipOptions } from '../types.js';
import type { Leadership } from './createLeadership.js';
import {
  applyStoreChange,
  LAST_LEADER_KEY,
  LEADER_KEY,
  LEADERS_PREFIX,
  type FleetState,
} from './fleetState.js';

/** This host as a candidate for the leadership of the fleet. */
export interface Candidacy {
  /** Tries to acquire the leadership now, if this host may run for it. */
  tryNow: () => Promise<void>;
  /** Stops running for leader and renewing the lease, as this host leaves. */
  withdraw: () => void;
}

/** Options of the candidacy. */
export interface CandidacyOptions extends Pick<
  MaintainMembershipOptions,
  'store' | 'log' | 'random' | 'self' | 'incarnation' | 'leaderTtlMs' | 'signal' | 'feed'
> {
  state: FleetState;
  leadership: Leadership;
  /** Whether this host's own entry is in the store. */
  isRegistered: () => boolean;
  /** Called when the store did not agree with the known state, which is to be read again. */
  onOutdated: () => void;
}

const MAX_ATTEMPT_INTERVALS = 4; // intervals of renewal between failed attempts to lead
const RENEWALS_PER_LEASE = 4; // two lost renewals still leave LEASE_MARGIN_MS for orders

/** Runs for leader whenever nobody leads, and renews the lease while this host does. */
export function maintainCandidacy(options: CandidacyOptions): Candidacy {
  const { store, log, random, self, incarnation, signal, feed, state, leadership } = options;
  const { lease, handover } = leadership;
  const ownRecord = { holder: self.name, address: self.address, incarnation };
  let isWithdrawn = false;
  let isElecting = false;
  let failedAttempts = 0;

  const mayRunForLeader = (): boolean =>
    !isWithdrawn &&
    state.hasSnapshot &&
    options.isRegistered() &&
    !feed.isFeedActive() &&
    (leadership.isOwnEntryOfCopy() || mayAcquireLeadership(state.command, ownRecord));

  const computeOwnElectionDelayMs = (): number => {
    // No handover is needed when this host leads again.
    if (state.lastLeader.holder === self.name || handover.isContinuing()) return 0;
    const revision = state.hosts.get(self.name)?.revision ?? 0;
    return computeElectionDelayMs({ ...self, revision }, [...state.hosts.values()], random());
  };

  const acquireLeadership = async (): Promise<void> => {
    await wait(computeOwnElectionDelayMs(), undefined, { signal });
    if (!mayRunForLeader()) return;
    const leaseId = await lease.acquire();
    const lastLeader = { key: LAST_LEADER_KEY, value: handover.encodeRecord() };
    const ownEntry = { key: LEADERS_PREFIX + incarnation, value: '{}', lease: leaseId };
    const entry = { key: LEADER_KEY, value: JSON.stringify(ownRecord), lease: leaseId };
    const { result, revision } = await store.transact({
      conditions: [
        { key: LEADER_KEY, revision: state.command?.revision ?? 0 },
        { key: LAST_LEADER_KEY, revision: state.lastHolderRevision },
      ],
      writes: [entry, ownEntry, ...(handover.isNeeded() ? [] : [lastLeader])],
    });
    if (result === TransactionResult.done) {
      applyStoreChange(state, { ...entry, value: Buffer.from(entry.value), revision }, log);
      leadership.update();
      return;
    }
    if (result === TransactionResult.leaseEnded) lease.drop();
    // The known state is outdated.
    state.hasSnapshot = false;
    options.onOutdated();
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

  const run = async (): Promise<void> => {
    while (!isAborted(signal) && !isWithdrawn) {
      // What was read before the leader passed changes on is outdated once the feed ends.
      if (feed.isFeedActive()) state.hasSnapshot = false;
      if (leadership.getFence() === undefined) await tryAcquireLeadership();
      else await lease.renew();
      const intervals =
        leadership.getFence() === undefined
          ? Math.min(MAX_ATTEMPT_INTERVALS, 1 + failedAttempts)
          : 1;
      const waitMs = (intervals * options.leaderTtlMs) / RENEWALS_PER_LEASE;
      await wait(waitMs, undefined, { signal }).catch(() => undefined);
    }
  };
  void run();

  return {
    tryNow: tryAcquireLeadership,
    withdraw: () => {
      isWithdrawn = true;
    },
  };
}
