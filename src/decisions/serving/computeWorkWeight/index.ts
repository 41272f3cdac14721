import type { ServerCandidate } from '../types.js';

/** A request as far as its work is concerned. */
export interface WorkWeightOptions {
  /** Tokens of the request if nothing of its prompt is cached. */
  tokens: number;
  /** How much the delay of others counts against that of the request itself; 1 by default, 0 for nothing. */
  othersWeight?: number;
}

const MAX_WORK_WEIGHT = 6; // above it the servers that have the prefix would take all requests

/**
 * Computes how often the work of a request counts in the choice of a server: once for the request, and
 * once for each request of its size that waits at a candidate on average. Answers the load of many
 * requests that share prompt prefixes: a request that is the first to leave the server with its prefix
 * is served a little sooner, but the server that it goes to processes the prefix again, which delays
 * all who wait there and evicts the prefixes of others. While nobody waits, only the request counts.
 */
export function computeWorkWeight(
  candidates: readonly Pick<ServerCandidate, 'backlogTokens'>[],
  { tokens, othersWeight = 1 }: WorkWeightOptions,
): number {
  if (candidates.length === 0 || tokens <= 0) return 1;
  const backlog = candidates.reduce((sum, { backlogTokens }) => sum + backlogTokens, 0);
  const waiting = backlog / candidates.length / tokens;
  return Math.min(MAX_WORK_WEIGHT, 1 + othersWeight * waiting);
}
