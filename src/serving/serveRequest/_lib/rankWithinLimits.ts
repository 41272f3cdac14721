import { isWithinLimit } from '../../../decisions/concurrency/isWithinLimit/index.js';
import type { RankedServer } from '../../../decisions/serving/types.js';
import type { RequestState } from './requestState.js';

/** Whether the limit of a server lets it run a request beside what runs there. */
export function isServerWithinLimit(
  { context: { concurrency }, routed }: RequestState,
  { candidate: { id, active }, uncachedTokens }: RankedServer,
): boolean {
  return isWithinLimit({
    limit: concurrency.getLimit(id),
    active,
    heldTokens: concurrency.getHeldTokens(id),
    addedTokens: Math.max(0, uncachedTokens - (routed.outputTokens ?? 0)),
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
