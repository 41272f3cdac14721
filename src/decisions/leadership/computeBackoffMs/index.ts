/** Options of computeBackoffMs. */
export interface BackoffOptions {
  /** Mean of the first wait in milliseconds; 300 by default. */
  firstMs?: number;
  /** Mean of the longest wait in milliseconds; 2400 by default. */
  maximumMs?: number;
}

/**
 * Computes the milliseconds before the next try after a number of failed ones: doubled with each,
 * up to a maximum, and spread by half of it either way. `random` is a number in [0, 1). Answers the
 * load of many hosts that lose the store or their leader at one moment and would return together.
 */
export function computeBackoffMs(
  failures: number,
  random: number,
  options: BackoffOptions = {},
): number {
  const { firstMs = 300, maximumMs = 2400 } = options;
  return Math.min(maximumMs, firstMs * 2 ** Math.max(0, failures - 1)) * (0.5 + random);
}
