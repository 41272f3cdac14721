import type { Clock } from '../../../../ports/clock.js';
import type { Log } from '../../../../ports/log.js';
import type { ClientRejection } from '../types.js';

const LOG_INTERVAL_MS = 5000;

/** Log of rejected clients: one line at most in each interval, with the counts by reason. */
export interface RejectionLog {
  record: (reason: ClientRejection) => void;
  /** Writes the line if it is due; to be called at regular times. */
  write: () => void;
}

/** Creates the log of rejected clients. */
export function createRejectionLog({ clock, log }: { clock: Clock; log: Log }): RejectionLog {
  const counts = new Map<ClientRejection, number>();
  let writtenAtMs = -Infinity;
  return {
    record: (reason) => {
      counts.set(reason, (counts.get(reason) ?? 0) + 1);
    },
    write: () => {
      const nowMs = clock.monotonicMs();
      if (counts.size === 0 || nowMs - writtenAtMs < LOG_INTERVAL_MS) return;
      writtenAtMs = nowMs;
      log.warn({ rejected: Object.fromEntries(counts) }, 'clients rejected');
      counts.clear();
    },
  };
}
