/** Longest wait of a watch in milliseconds. */
export const WATCH_TIMEOUT_MS = 1000; // with what follows, below the two seconds in which versions and departures must be heard
const ANSWER_MS = 300; // way to the store and back, a slow answer, or one cut watch begun again

/**
 * Tells by the last answer of each watch, in monotonic milliseconds, whether the holder of the
 * command hears the store, so that other hosts need not watch it. Load pattern: the store turns the
 * holder away, by errors or by silence, while it serves the others.
 */
export function isEveryWatchCurrent(answersAtMs: readonly number[], nowMs: number): boolean {
  return answersAtMs.every((atMs) => nowMs - atMs <= WATCH_TIMEOUT_MS + ANSWER_MS);
}
