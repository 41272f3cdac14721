import type { ConcurrencyLimit } from '../types.js';

/** A request beside what runs on a server. */
export interface WithinLimitOptions {
  /** Undefined where it is unknown or too old. */
  limit?: ConcurrencyLimit;
  /** Requests in flight, of all hosts. */
  active: number;
  /** Tokens of memory that these hold. */
  heldTokens: number;
  /** Tokens that the request adds when it begins. */
  addedTokens: number;
}

/**
 * Tells whether a server may run a further request. Answers the load of callers that arrive faster than
 * engines finish: beyond the limit, each further request makes those that run late as well. A request
 * that is larger than the limit of memory is let in where nothing else runs.
 */
export function isWithinLimit(options: WithinLimitOptions): boolean {
  const { limit, active, heldTokens, addedTokens } = options;
  if (limit === undefined || active === 0) return true;
  return active + 1 <= limit.requests && heldTokens + addedTokens <= limit.tokens;
}
