import { RetryPolicy, type BackendServer } from '../../../ports/serving.js';
import type { RequestState } from './requestState.js';

/** Attempts of one request, as a refusal costs a round trip, and further servers rarely have capacity either. */
export const MAX_SENDS = 5;

/**
 * Reserves a retry of a request that runs on a server, if the route allows one, another server
 * could take it, and the budget of its service has one left.
 */
export function tryReserveRetry(state: RequestState, server: BackendServer): boolean {
  const { context, request, excludedServers } = state;
  const { retryPolicy, maximumAttempts } = request.route;
  if (retryPolicy === RetryPolicy.once || state.attemptsRun + 1 >= maximumAttempts) return false;
  if (state.sends >= MAX_SENDS) return false;
  const { service, model } = request;
  const excluded = new Set([...excludedServers, server.id]);
  const { boundVersion } = state;
  const others = context.serverRegistry.listCandidates({ service, model, excluded, boundVersion });
  if (others.every(({ waitMs }) => waitMs > 0)) return false;
  state.hasReservedRetry = context.retryBudget.tryTakeRetry(service);
  return state.hasReservedRetry;
}
