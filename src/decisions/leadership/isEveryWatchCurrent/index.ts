import { RESPONSE_MARGIN_MS } from '../computeFreshnessLimits/index.js';

/**
 * Checks whether every store watch of the leader was answered recently enough, so that the other
 * hosts can rely on the changes that the leader passes on and need not watch the store themselves.
 * `answeredAtMs` holds the monotonic time of the last response to each watch, `watchTimeoutMs` the
 * timeout of one watch. Guards against a store that rejects or ignores the leader while it serves
 * the other hosts.
 */
export function isEveryWatchCurrent(
  answeredAtMs: readonly number[],
  watchTimeoutMs: number,
  nowMs: number,
): boolean {
  return answeredAtMs.every((atMs) => nowMs - atMs <= watchTimeoutMs + RESPONSE_MARGIN_MS);
}
