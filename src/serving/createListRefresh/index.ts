import { createPause } from '../../common/createPause.js';
import type { Clock } from '../../ports/clock.js';
import type { ListAge } from '../createListAge/index.js';
import type { StoreOutage } from '../createStoreOutage/index.js';

/** Lets requests wait for a list that is too old to choose from. */
export interface ListRefresh {
  /** Settles at once unless the list is too old; then once it is recent enough, or after a short wait. */
  refresh: (signal: AbortSignal) => Promise<void>;
  /** Looks at the age again; to be called when it may have fallen. */
  recordRead: () => void;
}

/** Options of createListRefresh. */
export interface ListRefreshOptions {
  clock: Pick<Clock, 'monotonicMs'>;
  listAge: Pick<ListAge, 'getAgeMs'>;
  outage: Pick<StoreOutage, 'getFailingMs'>;
  /** Age in milliseconds from which the list is too old. */
  maximumAgeMs: number;
  /** Longest wait of a request in milliseconds; 100 by default. */
  maximumWaitMs?: number;
  /** Lets the task that reads the list do so at once. */
  requestRead: () => void;
}

const MAX_WAIT_MS = 100; // many round trips to the store; a fraction of what callers wait
/**
 * A call that was under way while the process was paused fails as soon as it resumes, and is tried
 * again within 50 ms. Only a store that fails for longer is counted as down.
 */
const MIN_OUTAGE_MS = 300;

/**
 * Creates the refresh of a list. Answers the first requests of a host that was paused, or has lost its
 * leader: the servers on its list may have left meanwhile, or their data centre been evacuated. While
 * the store is down, the list is the best there is, and nobody waits.
 */
export function createListRefresh(options: ListRefreshOptions): ListRefresh {
  const {
    clock,
    listAge,
    outage,
    maximumAgeMs,
    maximumWaitMs = MAX_WAIT_MS,
    requestRead,
  } = options;
  const pause = createPause();
  const isTooOld = (): boolean => {
    const ageMs = listAge.getAgeMs();
    return ageMs >= maximumAgeMs && Number.isFinite(ageMs);
  };
  return {
    refresh: async (signal) => {
      const endsAtMs = clock.monotonicMs() + maximumWaitMs;
      // A view that answers an old report does not make the list recent, so that the age counts.
      while (isTooOld() && outage.getFailingMs() < MIN_OUTAGE_MS && !signal.aborted) {
        const remainingMs = endsAtMs - clock.monotonicMs();
        if (remainingMs <= 0) return;
        const waiting = pause.wait(remainingMs, signal);
        requestRead();
        await waiting;
      }
    },
    recordRead: pause.end,
  };
}
