import type { ServingRequest } from '../../../ports/serving.js';

const STREAM_PATIENCE_MS = 2000; // callers leave a stream that says nothing for so long
const STREAM_OBJECTIVES = 4; // or for so many times their objective, if that is longer
const ESTIMATE_SLACK = 1.3; // estimates of the delay are off by about so much

/**
 * Computes the longest delay in milliseconds that a server may be behind for a request to be worth
 * sending. Beyond it the caller has left before the answer begins, and the work is lost to others.
 */
export function computeMaximumDelayMs(
  { route }: Pick<ServingRequest, 'route'>,
  remainingMs: number,
): number {
  if (!route.isStream) return remainingMs;
  const gap = Math.max(STREAM_PATIENCE_MS, STREAM_OBJECTIVES * route.latencyTargetMs);
  return Math.min(remainingMs, ESTIMATE_SLACK * gap);
}
