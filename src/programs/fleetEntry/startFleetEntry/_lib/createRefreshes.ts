import { createPause, type Pause } from '../../../../common/createPause.js';
import type { Clock } from '../../../../ports/clock.js';
import type { Evacuations } from '../../../../serving/createEvacuations/index.js';
import type { ListAge } from '../../../../serving/createListAge/index.js';
import { createListRefresh } from '../../../../serving/createListRefresh/index.js';
import type { StoreOutage } from '../../../../serving/createStoreOutage/index.js';

/** A busy host reads the evacuations later than its servers would be missed, but it must read them. */
const MAX_EVACUATIONS_WAIT_MS = 1000;

/** Options of the refreshes. */
export interface RefreshesOptions {
  clock: Clock;
  listAge: ListAge;
  evacuations: Evacuations;
  outage: StoreOutage;
  /** Age up to which the servers and the evacuations may be used. */
  maximumAgeMs: number;
  /** Ends the waits for changes that the leader passes on. */
  resumeWaiters: () => void;
}

/** Reads of the servers and evacuations of a host that requests need before they are sent. */
export interface Refreshes {
  /** Pause of the watch of servers; ends when a read is due. */
  serversPause: Pause;
  recordListRead: () => void;
  recordEvacuationsRead: () => void;
  /** Settles when this host's servers may be chosen from. */
  refreshServers: (signal: AbortSignal) => Promise<void>;
}

/** Creates the refreshes of a host. */
export function createRefreshes(options: RefreshesOptions): Refreshes {
  const { clock, listAge, evacuations, outage, maximumAgeMs, resumeWaiters } = options;
  const serversPause = createPause();
  const listRefresh = createListRefresh({
    clock,
    listAge,
    outage,
    maximumAgeMs,
    requestRead: () => {
      resumeWaiters();
      serversPause.end();
    },
  });
  const evacuationsRefresh = createListRefresh({
    clock,
    listAge: evacuations,
    outage,
    maximumAgeMs,
    maximumWaitMs: MAX_EVACUATIONS_WAIT_MS,
    requestRead: resumeWaiters,
  });
  return {
    serversPause,
    recordListRead: listRefresh.recordRead,
    recordEvacuationsRead: evacuationsRefresh.recordRead,
    refreshServers: async (signal) => {
      await Promise.all([listRefresh.refresh(signal), evacuationsRefresh.refresh(signal)]);
    },
  };
}
