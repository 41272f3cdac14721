import type { ToldColdTime } from '../types.js';

/**
 * Merges the cold time that a further response of the same incarnation told. Responses and the reports
 * of hosts arrive in any order: a later end counts unless the known one is certainly newer, an earlier
 * end only if its request was sent after the known one had been received.
 */
export function mergeToldColdTime(
  known: ToldColdTime | undefined,
  next: ToldColdTime,
): ToldColdTime {
  if (known === undefined) return next;
  const isNewer =
    next.warmAtMs < known.warmAtMs
      ? next.sentAtMs >= known.receivedAtMs
      : next.receivedAtMs > known.sentAtMs;
  return isNewer ? next : known;
}
