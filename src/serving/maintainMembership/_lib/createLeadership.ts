import { setTimeout as wait } from 'node:timers/promises';
import { isAborted } from '../../../common/isAborted.js';
import { isLeaseValid } from '../../../decisions/leadership/isLeaseValid/index.js';
import { decodeRevision } from '../../../decisions/storeEpochs/decodeRevision/index.js';
import { formatError } from '../../../errors/index.js';
import { TransactionResult } from '../../../ports/fleetStore.js';
import type { MaintainMembershipOptions } from '../types.js';
import { createHandover, type Handover } from './createHandover.js';
import { createHeldLease, type HeldLease } from './createHeldLease.js';
import { createPauseDetector } from './createPauseDetector.js';
import { LAST_LEADER_KEY, listLeadershipConditions, type FleetState } from './fleetState.js';

/** The leadership of this process, if it leads: its fencing token, its lease and the handover before orders. */
export interface Leadership {
  /** Lease that the leader's entry is written with. */
  lease: Pick<HeldLease, 'acquire' | 'renew' | 'drop'>;
  handover: Pick<Handover, 'isNeeded' | 'isContinuing' | 'encodeRecord'>;
  /** Fencing token of the leadership; undefined while this process does not lead. */
  getFence: () => number | undefined;
  /** Whether the leader's entry is one of this process from before the store was restored. */
  isOwnEntryOfCopy: () => boolean;
  /** Leads exactly while the leader's entry names this process, even if that was written late. */
  update: () => void;
  /** Whether the lease of the leadership is known to hold at this moment. */
  isConfirmed: () => boolean;
  /** Confirms that this host is leader and may send orders, renewing its lease if needed. */
  confirm: () => Promise<boolean>;
  /** Records that the store was restored; returns whether this process led until then. */
  recordRestore: () => boolean;
  /** Drops the lease and stops to lead. */
  end: () => void;
}

/** Options of the leadership. */
export interface LeadershipOptions extends Pick<
  MaintainMembershipOptions,
  | 'store'
  | 'clock'
  | 'log'
  | 'self'
  | 'incarnation'
  | 'isFirstStart'
  | 'leaderTtlMs'
  | 'handoverMs'
  | 'signal'
  | 'outage'
  | 'onLeadershipChange'
> {
  state: FleetState;
}

const HANDOVER_RETRY_BACKOFF_MS = 300; // calls are billed even while the store is unavailable

/** Creates the leadership of a process that does not lead yet. */
export function createLeadership(options: LeadershipOptions): Leadership {
  const { store, clock, log, self, incarnation, signal, state } = options;
  const handover = createHandover(options);
  let fence: number | undefined;
  /** Epoch of the last leadership of this process. */
  let ledEpoch: number | undefined;

  const lease = createHeldLease({
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
    lease.invalidate();
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

  const isConfirmed = (): boolean => {
    const timing = lease.getTiming();
    if (fence === undefined || timing === undefined) return false;
    const lastTickAtMs = pauses.getLastTickAtMs();
    return isLeaseValid({ ...timing, lastTickAtMs }, clock.monotonicMs(), clock.wallMs());
  };

  return {
    lease,
    handover,
    getFence: () => fence,
    isOwnEntryOfCopy: () =>
      fence === undefined &&
      state.command?.incarnation === incarnation &&
      ledEpoch !== undefined &&
      ledEpoch < decodeRevision(state.command.revision).epoch,
    update: () => {
      const { command } = state;
      const isOwn =
        command?.holder === self.name &&
        command.incarnation === incarnation &&
        command.lease === lease.getId();
      if (!isOwn) {
        setFencingToken(undefined);
        return;
      }
      if (fence === command.revision) return;
      ledEpoch = decodeRevision(command.revision).epoch;
      setFencingToken(command.revision);
      if (handover.isNeeded()) void completeHandover(command.revision);
    },
    isConfirmed,
    confirm: async () => {
      if (fence === undefined || handover.isNeeded()) return false;
      return isConfirmed() || ((await lease.renew()) && isConfirmed());
    },
    recordRestore: () => {
      const wasLeading = isConfirmed();
      handover.recordRestore(wasLeading ? ledEpoch : undefined);
      return wasLeading;
    },
    end: () => {
      lease.drop();
      setFencingToken(undefined);
    },
  };
}
