import { mayOthersHaveOrders } from '../../../decisions/leadership/mayOthersHaveOrders/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { FleetStore } from '../../../ports/fleetStore.js';
import type { FleetState } from './fleetState.js';

/** What this host knows of orders that previous leaders may have in flight. */
export interface Handover {
  /** Whether orders of another host may be in flight. */
  isNeeded: () => boolean;
  /** Whether this process led until the store was restored, so that no other host can have sent orders since. */
  isContinuing: () => boolean;
  /** Milliseconds until no order of a previous leader can take effect any more. */
  computeWaitMs: () => number;
  /** Value of the record of this host as the last leader. */
  encodeRecord: () => string;
  /** Records that the store was restored, and the epoch in which this process led until then, if it did. */
  recordRestore: (ledEpoch: number | undefined) => void;
}

/** Options of createHandover. */
export interface HandoverOptions {
  store: Pick<FleetStore, 'getEpoch'>;
  clock: Clock;
  state: Pick<FleetState, 'lastLeader'>;
  self: { name: string };
  handoverMs: number;
  leaderTtlMs: number;
  isFirstStart: boolean;
}

/** Creates the knowledge of a host that has just started. */
export function createHandover(options: HandoverOptions): Handover {
  const { store, clock, state, self, handoverMs, leaderTtlMs, isFirstStart } = options;
  let restoredAtMs = -Infinity;
  let ledUntilEndOf: number | undefined;
  return {
    isNeeded: () =>
      mayOthersHaveOrders({
        self: self.name,
        epoch: store.getEpoch(),
        lastLeader: state.lastLeader,
        ledUntilEndOf,
        isFirstStart,
        hasSeenRestore: restoredAtMs > -Infinity,
      }),
    isContinuing: () => ledUntilEndOf !== undefined && ledUntilEndOf === store.getEpoch() - 1,
    computeWaitMs: () => {
      // The lease of a leader of the epoch before is gone from the store, but may still run for that host.
      const untilLeaseEndMs = restoredAtMs + leaderTtlMs - clock.monotonicMs();
      return handoverMs + Math.max(0, untilLeaseEndMs);
    },
    encodeRecord: () => JSON.stringify({ holder: self.name, epoch: store.getEpoch() }),
    recordRestore: (ledEpoch) => {
      restoredAtMs = clock.monotonicMs();
      ledUntilEndOf = ledEpoch ?? ledUntilEndOf;
    },
  };
}
