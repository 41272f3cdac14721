/** An engine's request limit beside the load of its service. */
export interface AcceptanceOptions {
  /** Requests per second that the engine takes; Infinity without a limit. */
  limit: number;
  /** Requests per second for the models of the service. */
  requestRate: number;
  engineCount: number;
  /** Fraction of the engine's recent streams that paused for too long; 0 by default. */
  slowShare?: number;
}

const MIN_PACE_ACCEPTANCE = 0.3; // also a slow engine serves prompts whose callers can wait
const BUSY_ENGINE_SHARE = 3; // an engine with the busiest models receives some times the mean

/**
 * Computes which part of the requests for its models an engine takes, from 0 to 1. An engine with a
 * limit is compared with one that holds busy models: only what it would receive then shows whether
 * further replicas on it relieve the others. An engine whose streams pause for too long counts as far
 * as its streams are on time, so that busy models get replicas on other engines.
 */
export function computeAcceptance(options: AcceptanceOptions): number {
  const { limit, requestRate, engineCount, slowShare = 0 } = options;
  const busyRate = (BUSY_ENGINE_SHARE * requestRate) / Math.max(1, engineCount);
  const limitAcceptance = busyRate > 0 ? Math.min(1, limit / busyRate) : 1;
  return limitAcceptance * Math.max(MIN_PACE_ACCEPTANCE, 1 - slowShare);
}
