import type { RequestLimit } from '../types.js';

/**
 * Merges what a further response tells of a server's limit. Responses of one server reach the hosts,
 * and their reports the leader, in any order: a lower limit counts unless the known one is certainly
 * newer, a higher one or none only if its request was sent after the known one had been received.
 */
export function mergeRequestLimit(
  known: RequestLimit | undefined,
  next: RequestLimit,
): RequestLimit | undefined {
  if (known === undefined) return next.perSecond === Infinity ? undefined : next;
  const isNewer =
    next.perSecond > known.perSecond
      ? next.sentAtMs >= known.receivedAtMs
      : next.receivedAtMs > known.sentAtMs;
  return isNewer ? next : known;
}
