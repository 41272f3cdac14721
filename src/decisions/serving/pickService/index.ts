import type { WeightedService } from '../../../ports/serving.js';

/**
 * Picks one of the services of a route at random in proportion to their weights. `random` is a number
 * in [0, 1).
 */
export function pickService(services: readonly WeightedService[], random: number): string {
  const totalWeight = services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let remaining = random * totalWeight;
  for (const { service, weight } of services) {
    remaining -= Math.max(0, weight);
    if (remaining < 0) return service;
  }
  return services.find(({ weight }) => weight > 0)?.service ?? services[0]?.service ?? '';
}
