/** What the request limit of a cold server depends on. */
export interface ColdLimitOptions {
  /** Milliseconds until the server is warm; 0 when it is. */
  coldMs: number;
  /** Requests per second that it tolerates while cold; 0 without a limit. */
  perSecond: number;
}

// Reservations of a former leader, local shares and a new schedule overlap for up to a second.
const USED_FRACTION = 0.8;

/**
 * Computes the request limit of a server from its cold time; Infinity without one. Answers the load on
 * an engine that has just started or turned cold: a leader change makes hosts send by two schedules
 * at once, and the part that is left unused keeps their sum below the rate at which it crashes.
 */
export function computeColdLimit({ coldMs, perSecond }: ColdLimitOptions): number {
  return coldMs > 0 && perSecond > 0 ? USED_FRACTION * perSecond : Infinity;
}
