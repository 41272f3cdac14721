import { RequestClass } from '../../bundle/types.js';
import type { VirtualServiceTimes, WaitingRequest } from '../types.js';

const CLASS_RANKS: Record<RequestClass, number> = {
  [RequestClass.interactive]: 0,
  [RequestClass.standard]: 1,
  [RequestClass.batch]: 2,
};

/** Fraction of its allowed wait after which a request is promoted by one class. */
const PROMOTION_FRACTION = 0.75;

function computeClassRank(request: WaitingRequest, nowMs: number): number {
  const classRank = CLASS_RANKS[request.class];
  const allowedWaitMs = request.deadlineAtMs - request.enqueuedAtMs;
  const isLate = nowMs - request.enqueuedAtMs > PROMOTION_FRACTION * allowedWaitMs;
  return isLate ? Math.max(0, classRank - 1) : classRank;
}

/**
 * Chooses the waiting request to start next: the most urgent class, within it the organisation with
 * the least virtual service time, and of that organisation the oldest request.
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
      computeClassRank(request, nowMs),
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
