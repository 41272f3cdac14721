import { createPause } from '../../common/createPause.js';
import type { ListAge } from '../createListAge/index.js';
import type { StoreOutage } from '../createStoreOutage/index.js';

/** Lets requests wait for a list of servers that is too old to choose from. */
export interface ListRefresh {
  /** Settles at once unless the list is too old; then once it was read, or after a short wait. */
  refresh: (signal: AbortSignal) => Promise<void>;
  /** Ends the waits; to be called when the list was read. */
  recordRead: () => void;
}

/** Options of createListRefresh. */
export interface ListRefreshOptions {
  listAge: Pick<ListAge, 'getAgeMs'>;
  outage: Pick<StoreOutage, 'isFailing'>;
  /** Age in milliseconds from which the list is too old. */
  maximumAgeMs: number;
  /** Lets the task that watches the servers read them at once. */
  requestRead: () => void;
}

const MAX_WAIT_MS = 100; // many round trips to the store; a fraction of what callers wait

/**
 * Creates the refresh of a list of servers. Answers the first requests of a host that was paused, or
 * has lost its leader: their servers may have left meanwhile. While the store does not answer, the
 * list is the best there is, and nobody waits.
 */
export function createListRefresh(options: ListRefreshOptions): ListRefresh {
  const { listAge, outage, maximumAgeMs, requestRead } = options;
  const pause = createPause();
  return {
    refresh: async (signal) => {
      const ageMs = listAge.getAgeMs();
      if (ageMs < maximumAgeMs || !Number.isFinite(ageMs) || outage.isFailing()) return;
      const waiting = pause.wait(MAX_WAIT_MS, signal);
      requestRead();
      await waiting;
    },
    recordRead: pause.end,
  };
}
