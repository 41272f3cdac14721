import { computePromptHarmCost } from '../../pace/computePromptHarmCost/index.js';
import { computeSlowStreamCost } from '../../pace/computeSlowStreamCost/index.js';
import { computeCopyCost } from '../../prefixCache/computeCopyCost/index.js';
import { computeKnownTokens } from '../../prefixCache/computeKnownTokens/index.js';
import { hashRendezvous } from '../../routing/hashRendezvous/index.js';
import { PROMPT_TOKENS_PER_MS, USABLE_MEMORY_FRACTION } from '../constants.js';
import { computeColdDelayMs } from '../computeColdDelayMs/index.js';
import { computeWorkWeight } from '../computeWorkWeight/index.js';
import type { RankedServer, RoutedRequest, ServerCandidate } from '../types.js';

const FULL_BATCH_DELAY_MS = 150; // a full batch delays the first token by some 25 steps of 5.5 ms
const MEMORY_OVERCOMMIT_MS = 3000; // a preempted request is processed again from its start
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
    candidate.waitMs +
    computeColdDelayMs(candidate.coldMs ?? 0) +
    latencyRatio * ((memoryTokens > 0 ? prefillMs : 0) + batchMs) +
    queueMs +
    memoryMs +
    adapterMs +
    failureMs +
    (candidate.isInLocalDataCentre ? 0 : REMOTE_DATA_CENTRE_MS)
  );
}

/** Estimates the milliseconds by which a request delays the next one on its server. */
function estimateCost({ memoryTokens, serviceTimeMs, slots }: ServerCandidate, tokens: number) {
  return memoryTokens > 0 ? tokens / PROMPT_TOKENS_PER_MS : serviceTimeMs / slots;
}

/** Options of rankServers. */
export interface RankServersOptions {
  /**
   * Mean of what is added at random to each estimate, in multiples of the request's own cost on the
   * server; 0 by default.
   */
  spread?: number;
  /** How much the delay of others counts against that of the request itself; 0 by default. */
  othersWeight?: number;
  /** How far only what is known counts as cached at the preferred server; 0 by default. */
  knownWeight?: number;
  /** Milliseconds since the host last learned of what others have sent; 0 by default. */
  usesAgeMs?: number;
  /** How much another copy of the prefix costs, in multiples of its prefill; 0 by default. */
  copyWeight?: number;
  /** Requests with the prefix in a millisecond, from all hosts together; 0 by default. */
  prefixRequestsPerMs?: number;
}

/**
 * Ranks candidates by the estimated delay of a request, the lowest first; the order is random as far
 * as `spread` says. Requests that share a prompt prefix prefer one server, as long as its prefix cache
 * saves more than its load costs; otherwise they prefer servers that have processed parts of the
 * prefix recently. With `othersWeight`, work counts the more the more requests wait; with `copyWeight`,
 * servers without the prefix count the less the more servers hold it.
 */
export function rankServers(
  candidates: readonly ServerCandidate[],
  request: RoutedRequest,
  random: () => number,
  options: RankServersOptions = {},
): RankedServer[] {
  const { spread = 0, othersWeight = 0, knownWeight, copyWeight = 0 } = options;
  const { usesAgeMs, prefixRequestsPerMs: requestsPerMs = 0 } = options;
  const { hasPauseTarget = false, sharedTokens, unsharedTokens, outputTokens = 0 } = request;
  const tokens = sharedTokens + unsharedTokens;
  const workWeight = computeWorkWeight(candidates, { tokens, othersWeight });
  const preferred = findPreferred(candidates, request.affinityKey);
  // The preferred server counts as a holder, since the other hosts send requests with the prefix there.
  const countHolders = (candidate: ServerCandidate): number =>
    candidate === preferred ? 1 : candidate.cachedTokens / Math.max(1, sharedTokens);
  const holders = candidates.reduce((sum, candidate) => sum + countHolders(candidate), 0);
  return candidates
    .map((candidate) => {
      const knownTokens = candidate.cachedTokens;
      const cachedTokens =
        candidate === preferred
          ? computeKnownTokens({ sharedTokens, cachedTokens: knownTokens, knownWeight, usesAgeMs })
          : knownTokens;
      const uncachedTokens = tokens - cachedTokens;
      const delayMs = estimateDelay(candidate, request, cachedTokens);
      const costMs = estimateCost(candidate, uncachedTokens);
      // The work of a request delays others at engines; servers of plain services have the same delay until
      // all slots are taken.
      const loadMs = (candidate.memoryTokens > 0 ? workWeight - 1 : candidate.active) * costMs;
      // An exponential distribution, whose long tail leaves no server without a chance.
      const spreadMs = -Math.log(1 - random()) * spread * costMs;
      const { slowShare = 0, active } = candidate;
      const promptTokens = Math.max(0, uncachedTokens - outputTokens);
      const paceMs =
        computeSlowStreamCost({ slowShare, hasPauseTarget }) +
        computePromptHarmCost({ slowShare, promptTokens, active });
      const copyMs = computeCopyCost({
        missingTokens: sharedTokens - cachedTokens,
        otherHolders: holders - countHolders(candidate),
        requestsPerMs,
        unsharedTokens,
        copyWeight: candidate.memoryTokens > 0 ? copyWeight : 0,
      });
      const scoreMs = delayMs + loadMs + paceMs + spreadMs + copyMs;
      return {
        ranked: { candidate, delayMs, scoreMs, uncachedTokens },
        load: candidate.active / candidate.slots,
        // Ties are broken at random, or all hosts would choose the same server.
        tieBreaker: random(),
      };
    })
    .sort(
      (one, other) =>
        one.ranked.scoreMs - other.ranked.scoreMs ||
        one.load - other.load ||
        one.tieBreaker - other.tieBreaker,
    )
    .map(({ ranked }) => ranked);
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
