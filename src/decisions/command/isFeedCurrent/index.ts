/** What the last call of a watch of the store came to. */
export interface WatchState {
  /** Last answer in monotonic milliseconds; -Infinity before the first one. */
  answeredAtMs: number;
  /** Whether a call failed since then. */
  hasFailed: boolean;
}

/** Longest wait of a watch in milliseconds. */
export const WATCH_WAIT_MS = 1000; // with what follows, below the two seconds in which versions and departures must be heard
const ANSWER_MS = 300; // way to the store and back, and a slow answer

/**
 * Tells whether the holder of the command hears the store, so that other hosts need not watch it.
 * Load pattern: the store turns the holder away, by errors or by silence, while it serves the others.
 */
export function isFeedCurrent(watches: readonly WatchState[], nowMs: number): boolean {
  return watches.every(
    ({ answeredAtMs, hasFailed }) =>
      !hasFailed && nowMs - answeredAtMs <= WATCH_WAIT_MS + ANSWER_MS,
  );
}
