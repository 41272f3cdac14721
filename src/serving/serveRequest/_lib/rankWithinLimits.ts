import { isWithinLimit } from '../../../decisions/concurrency/isWithinLimit/index.js';
import { mayExceedLimit } from '../../../decisions/concurrency/mayExceedLimit/index.js';
import type { RankedServer } from '../../../decisions/serving/types.js';
import type { RequestState } from './requestState.js';

/** Whether the limit of a server lets it run a request beside what runs there. */
export function isServerWithinLimit(
  { context: { concurrency }, routed }: RequestState,
  { candidate: { id, active }, uncachedTokens }: Pick<RankedServer, 'candidate' | 'uncachedTokens'>,
): boolean {
  return isWithinLimit({
    limit: concurrency.getLimit(id),
    active,
    heldTokens: concurrency.getHeldTokens(id),
    addedTokens: Math.max(0, uncachedTokens - (routed.outputTokens ?? 0)),
  });
}

/** Whether a request that would be refused may run on a server beyond its limit. */
export function mayExceedServerLimit(
  { context: { concurrency }, routed }: RequestState,
  { candidate, uncachedTokens }: RankedServer,
): boolean {
  return mayExceedLimit({
    ...candidate,
    limit: concurrency.getLimit(candidate.id),
    heldTokens: concurrency.getHeldTokens(candidate.id),
    addedTokens: Math.max(0, uncachedTokens - (routed.outputTokens ?? 0)),
  });
}

/** Whether a server that can run a request is below its limit. */
export function isAnyServerWithinLimit(state: RequestState): boolean {
  const { context, request, routed } = state;
  const { service, model, adapter } = request;
  const { sharedParts, sharedTokens, unsharedTokens } = routed;
  return context.serverRegistry
    .listCandidates({ service, model, adapter, sharedParts, boundVersion: state.boundVersion })
    .some((candidate) => {
      const uncachedTokens = unsharedTokens + sharedTokens - candidate.cachedTokens;
      return isServerWithinLimit(state, { candidate, uncachedTokens });
    });
}

/**
 * Puts the servers below their limits first. Requests whose callers accept any pause are on time beyond
 * the limits as well, and keep the order.
 */
export function rankWithinLimits(state: RequestState, ranked: RankedServer[]): RankedServer[] {
  if (state.routed.hasPauseTarget !== true) return ranked;
  const isWithin = (server: RankedServer): boolean => isServerWithinLimit(state, server);
  const within = new Set(ranked.filter(isWithin));
  return [...within, ...ranked.filter((server) => !within.has(server))];
}
