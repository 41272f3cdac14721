import type { ServingRequest } from '../../../ports/serving.js';

// Callers abandon a stream without data after STREAM_IDLE_TIMEOUT_MS, or after STREAM_IDLE_TARGETS
// times the latency target of the route if that is longer.
const STREAM_IDLE_TIMEOUT_MS = 2000;
const STREAM_IDLE_TARGETS = 4;
const ESTIMATE_ERROR_FACTOR = 1.3; // delay estimates are off by about 30 %

/** Computes the milliseconds until a caller abandons a request whose response has not begun. */
export function computePatienceMs(
  { route }: Pick<ServingRequest, 'route'>,
  remainingMs: number,
): number {
  if (!route.isStream) return remainingMs;
  return Math.min(
    remainingMs,
    Math.max(STREAM_IDLE_TIMEOUT_MS, STREAM_IDLE_TARGETS * route.latencyTargetMs),
  );
}

/**
 * Computes the longest estimated delay in milliseconds with which a request is still worth sending to
 * a server. With a longer one the caller is gone before the response begins, and the work is wasted.
 */
export function computeMaximumDelayMs(
  request: Pick<ServingRequest, 'route'>,
  remainingMs: number,
): number {
  return Math.min(remainingMs, ESTIMATE_ERROR_FACTOR * computePatienceMs(request, remainingMs));
}
