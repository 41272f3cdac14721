import { USABLE_MEMORY_FRACTION } from '../../serving/constants.js';
import type { ConcurrencyObservation, LearnedLimit } from '../types.js';

/** Streams that have to end before the limit is learned from them. */
export const SUFFICIENT_STREAMS = 8;

const MIN_REQUESTS = 4; // an engine with fewer leaves most of each step unused
const MIN_MEMORY_FRACTION = 0.3; // the longest prompts still fit
const REQUEST_DECREASE = 0.8;
const MEMORY_DECREASE = 0.9; // a smaller part of the requests is preempted than is late for many prompts
const MEMORY_INCREASE = 0.02;
// A limit far above what runs is lowered to where it has an effect; more than that would follow chance.
const UNUSED_FACTOR = 1.5;
const USED_FRACTION = 0.8; // below it, streams on time do not show that more would be
const DECREASE_INTERVAL_MS = 3000; // streams that began before the decrease have ended
const MAX_INEFFECTIVE_DECREASES = 3; // half of the requests
const EFFECTIVE_FRACTION = 0.8;
const UNLIMITED_MS = 30_000; // until decreases are tried again

/** Builds the limit of a server of which nothing is known. */
export function buildFirstLimit(slots: number, memoryTokens: number): LearnedLimit {
  return {
    requests: slots,
    tokens: USABLE_MEMORY_FRACTION * memoryTokens,
    decreases: 0,
    shareBefore: 0,
    heldUntilMs: -Infinity,
  };
}

function computeLowerLimit(limit: LearnedLimit, observation: ConcurrencyObservation): LearnedLimit {
  const { streams, lateStreams, active, heldTokens, memoryTokens, nowMs } = observation;
  const share = lateStreams / streams;
  const isIneffective =
    limit.decreases >= MAX_INEFFECTIVE_DECREASES && share > EFFECTIVE_FRACTION * limit.shareBefore;
  if (isIneffective)
    return {
      ...buildFirstLimit(observation.slots, memoryTokens),
      heldUntilMs: nowMs + UNLIMITED_MS,
    };
  const next = {
    ...limit,
    decreases: limit.decreases + 1,
    shareBefore: limit.decreases === 0 ? share : limit.shareBefore,
    heldUntilMs: nowMs + DECREASE_INTERVAL_MS,
  };
  if (memoryTokens > 0 && heldTokens > limit.tokens)
    return {
      ...next,
      tokens: Math.max(MIN_MEMORY_FRACTION * memoryTokens, MEMORY_DECREASE * limit.tokens),
    };
  const usedRequests = Math.min(limit.requests, UNUSED_FACTOR * active);
  const minimum = Math.min(MIN_REQUESTS, observation.slots);
  return { ...next, requests: Math.max(minimum, Math.floor(REQUEST_DECREASE * usedRequests)) };
}

/**
 * Computes the next limit of a server: additive increase while its streams are on time at the limit,
 * multiplicative decrease while more of them are late than `lateShare`. Memory is lowered before
 * requests where it was exceeded. Answers the load of more callers than engines serve on time, where
 * an engine takes requests up to its slots and all of them are late. Where three decreases leave the
 * share of late streams as it is, their number is not the cause, and the limit is lifted for a while.
 */
export function updateConcurrencyLimit(
  limit: LearnedLimit,
  observation: ConcurrencyObservation,
  lateShare: number,
): LearnedLimit {
  const { streams, lateStreams, active, heldTokens, slots, memoryTokens, nowMs } = observation;
  if (streams < SUFFICIENT_STREAMS) return limit;
  const share = lateStreams / streams;
  if (share > lateShare)
    return nowMs < limit.heldUntilMs ? limit : computeLowerLimit(limit, observation);
  if (share > lateShare / 2) return { ...limit, decreases: 0 };
  const isRequestsUsed = active >= USED_FRACTION * limit.requests;
  const isMemoryUsed = heldTokens >= USED_FRACTION * limit.tokens;
  return {
    ...limit,
    decreases: 0,
    requests: Math.min(slots, limit.requests + (isRequestsUsed ? 1 : 0)),
    tokens: Math.min(
      USABLE_MEMORY_FRACTION * memoryTokens,
      limit.tokens + (isMemoryUsed ? MEMORY_INCREASE * memoryTokens : 0),
    ),
  };
}
