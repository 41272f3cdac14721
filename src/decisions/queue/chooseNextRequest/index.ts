import { RequestClass } from '../../bundle/types.js';
import type { VirtualServiceTimes, WaitingRequest } from '../types.js';

const CLASS_ORDER: Record<RequestClass, number> = {
  [RequestClass.interactive]: 0,
  [RequestClass.standard]: 1,
  [RequestClass.batch]: 2,
};

/** Part of its wait after which a request moves up one class. */
const PROMOTION_PART = 0.75;

function computeUrgency(request: WaitingRequest, nowMs: number): number {
  const order = CLASS_ORDER[request.class];
  const allowed = request.deadlineAtMs - request.enqueuedAtMs;
  const isLate = nowMs - request.enqueuedAtMs > PROMOTION_PART * allowed;
  return isLate ? Math.max(0, order - 1) : order;
}

/**
 * Chooses the waiting request to start next: the most urgent class, in it the organisation
 * served least against its rate, of that one the request that has waited longest.
 */
export function chooseNextRequest(
  waiting: readonly WaitingRequest[],
  served: VirtualServiceTimes,
  nowMs: number,
): WaitingRequest | undefined {
  let best: WaitingRequest | undefined;
  let bestRank: [number, number, number] = [Infinity, Infinity, Infinity];
  for (const request of waiting) {
    const rank: [number, number, number] = [
      computeUrgency(request, nowMs),
      served[request.organisation] ?? 0,
      request.enqueuedAtMs,
    ];
    if (compareRanks(rank, bestRank) < 0) {
      best = request;
      bestRank = rank;
    }
  }
  return best;
}

function compareRanks(one: readonly number[], other: readonly number[]): number {
  for (const [index, value] of one.entries()) {
    const difference = value - (other[index] ?? 0);
    if (difference !== 0 && !Number.isNaN(difference)) return difference;
  }
  return 0;
}
