import { isIsolated } from '../../../decisions/membership/isIsolated/index.js';
import type { Clock } from '../../../ports/clock.js';

/** Milliseconds without a response after which the key-value service counts as unreachable. */
const SERVICE_UNREACHABLE_AFTER_MS = 2000;

/** Dependencies and options of a contact tracker. */
export interface ContactTrackerOptions {
  clock: Clock;
  /** Returns the time of each peer's last heartbeat. */
  listContactTimes: () => Record<string, number>;
  /** Lists the ids of the other entry hosts. */
  listPeerIds: () => string[];
  isolationTimeoutMs: number;
}

/** Contact of this host with the key-value service and with its peers. */
export interface ContactTracker {
  /** Records a response of the key-value service. */
  recordServiceResponse: () => void;
  isServiceUnreachable: () => boolean;
  /** False while this host is isolated, so that it may have missed key withdrawals. */
  isInContact: () => boolean;
}

/** Creates a tracker for which the key-value service has not responded yet. */
export function createContactTracker(options: ContactTrackerOptions): ContactTracker {
  const { clock, listContactTimes, listPeerIds, isolationTimeoutMs } = options;
  let keyValueServiceAtMs = -Infinity;
  return {
    recordServiceResponse: () => {
      keyValueServiceAtMs = clock.monotonicMs();
    },
    isServiceUnreachable: () =>
      clock.monotonicMs() - keyValueServiceAtMs > SERVICE_UNREACHABLE_AFTER_MS,
    isInContact: () =>
      !isIsolated(
        { keyValueServiceAtMs, peersAtMs: listContactTimes(), listedPeers: listPeerIds() },
        clock.monotonicMs(),
        isolationTimeoutMs,
      ),
  };
}
