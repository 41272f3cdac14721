import { hashRendezvous } from '../../routing/hashRendezvous/index.js';
import type { RankedServer, RoutedRequest, ServerCandidate } from '../types.js';

const PROMPT_TOKENS_PER_MS = 38.7; // prefill speed that the operators state for their engines
const FULL_BATCH_DELAY_MS = 150; // a full batch delays the first token by some 25 steps of 5.5 ms
const MEMORY_OVERCOMMIT_MS = 3000; // a preempted request is processed again from its start
const USABLE_MEMORY_FRACTION = 0.9; // leaves room for running requests that grow
const ADAPTER_LOAD_MS = 30; // order, transfer and two messages
const FAILURE_COST_MS = 4000; // a failed attempt costs about as much as a retry by the caller
const REMOTE_DATA_CENTRE_MS = 4; // round trip to another data centre, and the transfer

/**
 * Estimates the milliseconds until the response of a candidate begins. `cachedTokens` is the number of
 * shared tokens of the request that its prefix cache has.
 */
export function estimateDelay(
  candidate: ServerCandidate,
  request: RoutedRequest,
  cachedTokens: number,
): number {
  const { active, slots, reservedTokens, memoryTokens, failureRate, latencyRatio } = candidate;
  // Engines process urgent requests first.
  const backlogTokens = request.isUrgent ? candidate.urgentBacklogTokens : candidate.backlogTokens;
  const uncachedSharedTokens = request.sharedTokens - cachedTokens;
  const prefillMs =
    (backlogTokens + uncachedSharedTokens + request.unsharedTokens) / PROMPT_TOKENS_PER_MS;
  const batchMs = FULL_BATCH_DELAY_MS * Math.min(1, active / slots) * (memoryTokens > 0 ? 1 : 0);
  const queueMs = (Math.max(0, active - slots + 1) / slots) * candidate.serviceTimeMs;
  const requiredTokens = reservedTokens + request.unsharedTokens + uncachedSharedTokens;
  const memoryMs =
    memoryTokens > 0
      ? MEMORY_OVERCOMMIT_MS *
        Math.max(0, requiredTokens / (USABLE_MEMORY_FRACTION * memoryTokens) - 1)
      : 0;
  const adapterMs = candidate.holdsAdapter ? 0 : ADAPTER_LOAD_MS;
  const failureMs = FAILURE_COST_MS * failureRate ** 2;
  return (
    latencyRatio * ((memoryTokens > 0 ? prefillMs : 0) + batchMs) +
    queueMs +
    memoryMs +
    adapterMs +
    failureMs +
    (candidate.isInLocalDataCentre ? 0 : REMOTE_DATA_CENTRE_MS)
  );
}

/**
 * Ranks candidates by the estimated delay of a request, the lowest first. Requests that share a
 * prompt prefix prefer one server, as long as its prefix cache saves more than its load costs;
 * otherwise they prefer servers that have processed parts of the prefix recently.
 */
export function rankServers(
  candidates: readonly ServerCandidate[],
  request: RoutedRequest,
  random: () => number,
): RankedServer[] {
  const preferred = findPreferred(candidates, request.affinityKey);
  return candidates
    .map((candidate) => {
      const cachedTokens = candidate === preferred ? request.sharedTokens : candidate.cachedTokens;
      return {
        candidate,
        delayMs: estimateDelay(candidate, request, cachedTokens),
        uncachedTokens: request.unsharedTokens + request.sharedTokens - cachedTokens,
        // Ties are broken at random, or all hosts would choose the same server.
        tieBreaker: random(),
        load: candidate.active / candidate.slots,
      };
    })
    .sort(
      (one, other) =>
        one.delayMs - other.delayMs || one.load - other.load || one.tieBreaker - other.tieBreaker,
    )
    .map(({ candidate, delayMs, uncachedTokens }) => ({ candidate, delayMs, uncachedTokens }));
}

function findPreferred(
  candidates: readonly ServerCandidate[],
  key: string,
): ServerCandidate | undefined {
  if (key === '') return undefined;
  let best: ServerCandidate | undefined;
  let bestHash = -1;
  for (const candidate of candidates) {
    const hash = hashRendezvous(key, candidate.id);
    if (hash <= bestHash) continue;
    best = candidate;
    bestHash = hash;
  }
  return best;
}
