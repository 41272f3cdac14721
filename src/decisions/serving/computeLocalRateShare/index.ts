/** Hosts among which a host shares before it has heard of the others. */
export const DEFAULT_HOST_COUNT = 8; // the fleet's size is not known in the first moments of a host

const EVEN_PART = 0.5; // callers of a lost host come to others, so that half is shared evenly

/**
 * Computes the part of an organisation's rate that a host refills by itself while it does not hear
 * the fleet: half of it even, half as it was used. The parts of all hosts add up to one.
 */
export function computeLocalRateShare(hosts: number, share: number): number {
  return EVEN_PART / Math.max(1, hosts) + (1 - EVEN_PART) * share;
}
