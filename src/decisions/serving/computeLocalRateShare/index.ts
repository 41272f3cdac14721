/**
 * Number of hosts that a host assumes after its start until it knows the size of the fleet: hosts of
 * a large fleet that start together must not admit more than the rate meanwhile.
 */
export const DEFAULT_HOST_COUNT = 256;

const EVEN_FRACTION = 0.5; // usage shares lag when the callers of a failed host move to others

/**
 * Computes the fraction of an organisation's rate that a host refills by itself, between views of
 * the leader and while it is isolated from the fleet: half of the rate is divided evenly, half in
 * proportion to usage. The fractions of all hosts add up to one.
 */
export function computeLocalRateShare(hostCount: number, usageShare: number): number {
  return EVEN_FRACTION / Math.max(1, hostCount) + (1 - EVEN_FRACTION) * usageShare;
}
