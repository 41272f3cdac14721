/** Timing that keeps what a host knows of the store current. */
export interface FreshnessLimits {
  /** Timeout of one store watch (a long poll). */
  watchTimeoutMs: number;
  /** Time without a view of the leader after which a host reads the store itself. */
  feedTimeoutMs: number;
  /** Time for which a host relies on a leader whose watches are no longer current. */
  outdatedFeedMs: number;
  /** Pause after a watch of the servers that returned changes, so that changes are batched. */
  serverBatchDelayMs: number;
  /** Age of its list of servers at which a host reads the store itself, whatever the leader sends. */
  maximumListAgeMs: number;
  /** Mean of the longest time between two tries to read a store that does not answer. */
  maximumBackoffMs: number;
}

/** Round trip to the store, a slow response, or one restarted watch. */
export const RESPONSE_MARGIN_MS = 300;
/** A view that is under way, the timer that notices the end of the feed, and a read by a slow host. */
export const FEED_END_MARGIN_MS = 1100;
/** The timer that notices the age, a read that fails and the next one. */
const OWN_READ_MARGIN_MS = 700;
const MIN_WATCH_TIMEOUT_MS = 500;
const WATCH_FRACTION = 0.25;
const FEED_FRACTION = 0.65;
const FEED_OFFSET_MS = 600;
const BACKOFF_FRACTION = 0.5;
const MAX_SERVER_BATCH_DELAY_MS = 750; // a server that crashed is removed with this delay

/**
 * Splits the time in milliseconds within which a change in the store must be in force everywhere. A
 * change that a leader misses is late by its watch and response, the time for which hosts still
 * rely on it, and their own read; one that it passes on just before it fails, by the batch delay,
 * the time without views, and the read. Answers the load of hundreds of hosts that each watch the
 * store: the longer the limit, the fewer calls the leader makes, and the more time a new leader has
 * before the other hosts turn to the store.
 */
export function computeFreshnessLimits(maximumStalenessMs: number): FreshnessLimits {
  const watchTimeoutMs = Math.min(
    MIN_WATCH_TIMEOUT_MS + WATCH_FRACTION * maximumStalenessMs,
    maximumStalenessMs - RESPONSE_MARGIN_MS - FEED_END_MARGIN_MS,
  );
  return {
    watchTimeoutMs,
    feedTimeoutMs: Math.max(0, FEED_FRACTION * maximumStalenessMs - FEED_OFFSET_MS),
    outdatedFeedMs: Math.max(
      0,
      maximumStalenessMs - watchTimeoutMs - RESPONSE_MARGIN_MS - FEED_END_MARGIN_MS,
    ),
    maximumListAgeMs: maximumStalenessMs - OWN_READ_MARGIN_MS,
    maximumBackoffMs: BACKOFF_FRACTION * maximumStalenessMs,
    serverBatchDelayMs: Math.min(MAX_SERVER_BATCH_DELAY_MS, WATCH_FRACTION * maximumStalenessMs),
  };
}
