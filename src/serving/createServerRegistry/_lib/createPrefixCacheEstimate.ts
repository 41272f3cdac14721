import type { SharedPromptPart } from '../../../decisions/serving/types.js';

/** Estimates which prompt parts are in the prefix cache of one server. */
export interface PrefixCacheEstimate {
  /** Records that the server has processed these parts. */
  record: (parts: readonly SharedPromptPart[], nowMs: number) => void;
  /** Counts the tokens of the leading parts that are probably still cached. */
  countCachedTokens: (parts: readonly SharedPromptPart[], nowMs: number) => number;
}

/** Time for which a part counts as cached after its last use. */
export const RETENTION_MS = 8000; // a busy engine fills its memory with new tokens in about ten seconds
const MAX_PARTS = 1000; // bounds the memory used per server

/** Creates the estimate for a server with an empty prefix cache. */
export function createPrefixCacheEstimate(): PrefixCacheEstimate {
  /** Time at which each part was last processed, the oldest first. */
  const processedAtMs = new Map<string, number>();
  return {
    record: (parts, nowMs) => {
      for (const { key } of parts) {
        processedAtMs.delete(key);
        processedAtMs.set(key, nowMs);
      }
      for (const [key, atMs] of processedAtMs) {
        if (processedAtMs.size <= MAX_PARTS && nowMs - atMs <= RETENTION_MS) break;
        processedAtMs.delete(key);
      }
    },
    countCachedTokens: (parts, nowMs) => {
      let tokens = 0;
      for (const part of parts) {
        if (nowMs - (processedAtMs.get(part.key) ?? -Infinity) > RETENTION_MS) break;
        tokens += part.tokens;
      }
      return tokens;
    },
  };
}
