const MIN_REQUESTS_PER_SECOND = 0.05;

/**
 * Computes the requests per second that a server with a request limit is sent by a fraction of the
 * hosts. It is never zero: only the response to a request tells whether a limit still holds.
 */
export function computeUsableRate(limit: number, fraction = 1): number {
  return Math.max(MIN_REQUESTS_PER_SECOND, limit * fraction);
}
