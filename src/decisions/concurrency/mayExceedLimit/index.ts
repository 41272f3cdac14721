import type { ConcurrencyLimit } from '../types.js';

/** A server beyond its limit, and a request that would otherwise be refused. */
export interface ExceedLimitOptions {
  limit?: ConcurrencyLimit;
  active: number;
  slots: number;
  /** Tokens of prompts that wait to be processed. */
  backlogTokens: number;
  heldTokens: number;
  addedTokens: number;
}

const MAX_SLOT_FRACTION = 0.5;

/**
 * Tells whether a request runs on a server beyond its limit instead of being refused: while under half of
 * the slots are taken, no prompt waits and the memory suffices. Answers the load of a few requests after
 * a burst: the limit that was learned in the burst is still low, and a refusal would harm needlessly.
 */
export function mayExceedLimit(options: ExceedLimitOptions): boolean {
  const { limit, active, slots, backlogTokens, heldTokens, addedTokens } = options;
  if (limit !== undefined && heldTokens + addedTokens > limit.tokens) return false;
  return backlogTokens === 0 && active < MAX_SLOT_FRACTION * slots;
}
