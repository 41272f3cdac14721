import { PROMPT_TOKENS_PER_MS } from '../../serving/constants.js';

/** A prefix, and the engines that hold it. */
export interface CopyCostOptions {
  /** Tokens of the prefix that the engine lacks. */
  missingTokens: number;
  /** Expected number of other engines that hold the prefix. */
  otherHolders: number;
  /** Requests with the prefix in a millisecond, from all hosts together. */
  requestsPerMs: number;
  /** Tokens of such a request beside the prefix. */
  unsharedTokens: number;
  /** How much a copy costs beyond its own prefill, in multiples of that; 0, for nothing, by default. */
  copyWeight?: number;
}

const HOLDER_UTILISATION = 0.3; // with more work of one prefix on each holder, another engine gets a copy

/**
 * Computes the milliseconds that a copy of a prefix on one more engine costs others. The copy evicts
 * prefixes that no other engine may hold, and is worth the less the more engines hold the prefix already. A prefix
 * in high demand is spread at a lower cost, before the engine that holds it is late. Answers the load of many
 * hosts that choose from old loads: each fluctuation of the backlogs made another copy.
 */
export function computeCopyCost(options: CopyCostOptions): number {
  const { missingTokens, otherHolders, requestsPerMs, unsharedTokens, copyWeight = 0 } = options;
  const utilisation = (requestsPerMs * unsharedTokens) / PROMPT_TOKENS_PER_MS;
  const neededHolders = Math.max(1, utilisation / HOLDER_UTILISATION);
  const prefillMs = Math.max(0, missingTokens) / PROMPT_TOKENS_PER_MS;
  return (copyWeight * prefillMs * Math.max(0, otherHolders)) / neededHolders;
}
