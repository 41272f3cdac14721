import { PROMPT_TOKENS_PER_MS, USABLE_MEMORY_FRACTION } from '../../serving/constants.js';
import type { ServerCandidate } from '../../serving/types.js';

const FREE_SLOT_FRACTION = 0.5;
const FREE_BACKLOG_MS = 50; // a prompt that is being processed counts as backlog, but nobody waits for it

/**
 * Returns whether the engines that may serve a request have capacity that nobody waits for. Answers
 * waves that reach some engines only, such as those of one model: a request that others would serve in
 * time is never refused for the level. All of them count, as hosts with old figures would otherwise
 * send everything to the one that was free a moment ago.
 */
export function isCapacityFree(candidates: readonly ServerCandidate[]): boolean {
  const sum = (read: (candidate: ServerCandidate) => number): number =>
    candidates.reduce((total, candidate) => total + read(candidate), 0);
  return (
    sum(({ active }) => active) < FREE_SLOT_FRACTION * sum(({ slots }) => slots) &&
    sum(({ backlogTokens }) => backlogTokens) <=
      FREE_BACKLOG_MS * PROMPT_TOKENS_PER_MS * candidates.length &&
    sum(({ reservedTokens }) => reservedTokens) <=
      USABLE_MEMORY_FRACTION * sum(({ memoryTokens }) => memoryTokens) &&
    candidates.every(({ waitMs, coldMs = 0 }) => waitMs <= 0 && coldMs <= 0)
  );
}
