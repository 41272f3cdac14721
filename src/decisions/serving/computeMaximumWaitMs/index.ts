import type { ServingRequest } from '../../../ports/serving.js';
import { computePatienceMs } from '../computeMaximumDelayMs/index.js';

const URGENT_PATIENCE_FRACTION = 0.5; // the rest is left for the response, and for a caller that comes back
// While servers with limits are asked for more than they take, less urgent requests find no free time
// this soon, and urgent ones still do.
const OTHER_PATIENCE_FRACTION = 0.25;

/**
 * Computes the longest time in milliseconds for which a request waits at this host until a server
 * wants it. Answers the load on servers that take requests at a limited rate or in a while only: a
 * caller returns once at most, so that a wait serves more of them than a refusal, but one whose wait
 * ends in a refusal has lost the time in which it could have gone elsewhere.
 */
export function computeMaximumWaitMs(
  request: Pick<ServingRequest, 'route'>,
  remainingMs: number,
  isUrgent: boolean,
): number {
  const fraction = isUrgent ? URGENT_PATIENCE_FRACTION : OTHER_PATIENCE_FRACTION;
  return fraction * Math.min(computePatienceMs(request, remainingMs), remainingMs);
}
