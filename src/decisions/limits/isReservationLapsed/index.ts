const VALIDITY_MS = 500; // a busy host sends some hundred milliseconds late

/**
 * Checks whether the time that a reservation gives has passed by so much that the request needs another
 * one. Answers the load of a host that was paused: all its waits end at once, and it would send
 * in one moment what it reserved for all of the pause.
 */
export function isReservationLapsed(grantedMs: number, elapsedMs: number): boolean {
  return elapsedMs > grantedMs + VALIDITY_MS;
}
