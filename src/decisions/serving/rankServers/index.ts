import { hashRendezvous } from '../../routing/hashRendezvous/index.js';
import type { RankedServer, RoutedRequest, ServerCandidate } from '../types.js';

const PROMPT_TOKENS_PER_MS = 38.7; // reading speed that the operators state for their engines
const FULL_BATCH_MS = 150; // what a full batch adds to the first token: some 25 steps of 5.5 ms
const MEMORY_SHORT_MS = 3000; // a preempted request is read anew
const USABLE_MEMORY = 0.9; // room for the growth of what runs
const ADAPTER_MS = 30; // order, transfer and two messages
const FAILED_MS = 4000; // a failed attempt costs about a repeat by the caller
const FAR_MS = 4; // a round trip to another data centre, and its bytes

/** Estimates the milliseconds until a candidate answers a request. */
export function estimateDelay(
  candidate: ServerCandidate,
  request: RoutedRequest,
  keptTokens: number,
): number {
  const { active, slots, reservedTokens, memoryTokens, failureRate, latencyRatio } = candidate;
  // Engines take urgent requests first.
  const backlogTokens = request.isUrgent ? candidate.urgentBacklogTokens : candidate.backlogTokens;
  const missing = request.sharedTokens - keptTokens;
  const reading = (backlogTokens + missing + request.ownTokens) / PROMPT_TOKENS_PER_MS;
  const batch = FULL_BATCH_MS * Math.min(1, active / slots) * (memoryTokens > 0 ? 1 : 0);
  const queued = (Math.max(0, active - slots + 1) / slots) * candidate.serviceTimeMs;
  const needed = reservedTokens + request.ownTokens + missing;
  const memory =
    memoryTokens > 0
      ? MEMORY_SHORT_MS * Math.max(0, needed / (USABLE_MEMORY * memoryTokens) - 1)
      : 0;
  const adapter = candidate.holdsAdapter ? 0 : ADAPTER_MS;
  const failures = FAILED_MS * failureRate ** 2;
  return (
    latencyRatio * ((memoryTokens > 0 ? reading : 0) + batch) +
    queued +
    memory +
    adapter +
    failures +
    (candidate.isInLocalDataCentre ? 0 : FAR_MS)
  );
}

/**
 * Ranks candidates by the delay that a request would meet. Requests that share the start of
 * their prompt prefer one server, as long as what it has kept saves more than its load costs; past
 * that they go where parts of it were read lately.
 */
export function rankServers(
  candidates: readonly ServerCandidate[],
  request: RoutedRequest,
  random: () => number,
): RankedServer[] {
  const preferred = findPreferred(candidates, request.affinityKey);
  return candidates
    .map((candidate) => {
      const keptTokens = candidate === preferred ? request.sharedTokens : candidate.cachedTokens;
      return {
        candidate,
        delayMs: estimateDelay(candidate, request, keptTokens),
        uncachedTokens: request.ownTokens + request.sharedTokens - keptTokens,
        // Equal servers are taken in a random order, or all hosts would choose the same one.
        order: random(),
        load: candidate.active / candidate.slots,
      };
    })
    .sort(
      (one, other) =>
        one.delayMs - other.delayMs || one.load - other.load || one.order - other.order,
    )
    .map(({ candidate, delayMs, uncachedTokens }) => ({ candidate, delayMs, uncachedTokens }));
}

function findPreferred(
  candidates: readonly ServerCandidate[],
  key: string,
): ServerCandidate | undefined {
  if (key === '') return undefined;
  let best: ServerCandidate | undefined;
  let bestRank = -1;
  for (const candidate of candidates) {
    const rank = hashRendezvous(key, candidate.id);
    if (rank <= bestRank) continue;
    best = candidate;
    bestRank = rank;
  }
  return best;
}
