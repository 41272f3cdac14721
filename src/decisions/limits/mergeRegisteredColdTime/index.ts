import type { RegisteredColdTime } from '../types.js';

/**
 * Merges the cold time of a further registration of the same incarnation. Registrations reach a host
 * from the store and from leaders, in any order: one with fewer renewals is older and changes nothing.
 * The same one, read again after a pause, states a time that has partly passed, and only an
 * earlier end counts.
 */
export function mergeRegisteredColdTime(
  known: RegisteredColdTime | undefined,
  next: RegisteredColdTime,
): RegisteredColdTime {
  if (known === undefined) return next;
  if (next.renewals < known.renewals) return known;
  const isSame = next.renewals === known.renewals && next.statedMs === known.statedMs;
  return isSame && next.warmAtMs >= known.warmAtMs ? known : next;
}
