import type { WeightedService } from '../../../ports/serving.js';

/** Picks the service of a request by the weights of its route and a random number from 0 up to 1. */
export function pickService(shares: readonly WeightedService[], random: number): string {
  const total = shares.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let left = random * total;
  for (const { service, weight } of shares) {
    left -= Math.max(0, weight);
    if (left < 0) return service;
  }
  return shares.find(({ weight }) => weight > 0)?.service ?? shares[0]?.service ?? '';
}
