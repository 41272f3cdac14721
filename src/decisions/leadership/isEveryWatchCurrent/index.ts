/**
 * Timeout of one store watch (a long poll). Together with RESPONSE_MARGIN_MS it stays below the 2 s
 * within which new configuration versions and leaving servers must be noticed.
 */
export const WATCH_TIMEOUT_MS = 1000;
const RESPONSE_MARGIN_MS = 300; // round trip to the store, a slow response, or one restarted watch

/**
 * Checks whether every store watch of the leader was answered recently enough, so that the other
 * hosts can rely on the changes that the leader passes on and need not watch the store themselves.
 * `answeredAtMs` holds the monotonic time of the last response to each watch. Guards against a
 * store that rejects or ignores the leader while it serves the other hosts.
 */
export function isEveryWatchCurrent(answeredAtMs: readonly number[], nowMs: number): boolean {
  return answeredAtMs.every((atMs) => nowMs - atMs <= WATCH_TIMEOUT_MS + RESPONSE_MARGIN_MS);
}
