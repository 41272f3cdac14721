import type { SharedPromptPart } from '../../../decisions/serving/types.js';

/** Parts of prompts that a server has read for this host lately. */
export interface PrefixCacheEstimate {
  record: (parts: readonly SharedPromptPart[], nowMs: number) => void;
  /** Counts the tokens of the first parts in a row that the server may still keep. */
  countCachedTokens: (parts: readonly SharedPromptPart[], nowMs: number) => number;
}

const KEPT_MS = 8000; // a busy engine reads as much as its memory holds in about ten seconds
const MOST_PARTS = 1000; // bounds the memory of one server

/** Creates the memory of a server that has read nothing. */
export function createPrefixCacheEstimate(): PrefixCacheEstimate {
  /** When each part was read last, the oldest first. */
  const readAtMs = new Map<string, number>();
  return {
    record: (parts, nowMs) => {
      for (const { key } of parts) {
        readAtMs.delete(key);
        readAtMs.set(key, nowMs);
      }
      for (const [key, atMs] of readAtMs) {
        if (readAtMs.size <= MOST_PARTS && nowMs - atMs <= KEPT_MS) break;
        readAtMs.delete(key);
      }
    },
    countCachedTokens: (parts, nowMs) => {
      let tokens = 0;
      for (const part of parts) {
        if (nowMs - (readAtMs.get(part.key) ?? -Infinity) > KEPT_MS) break;
        tokens += part.tokens;
      }
      return tokens;
    },
  };
}
