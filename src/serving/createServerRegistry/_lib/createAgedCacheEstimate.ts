import { computeHoldProbability } from '../../../decisions/prefixCache/computeHoldProbability/index.js';
import { hashPart } from '../../../decisions/prefixCache/hashPart/index.js';
import type { CacheLoad } from '../../../decisions/prefixCache/types.js';
import {
  createCacheState,
  updateCacheState,
} from '../../../decisions/prefixCache/updateCacheState/index.js';
import type { SharedPromptPart } from '../../../decisions/serving/types.js';
import { RETENTION_MS } from './createPrefixCacheEstimate.js';

/** Estimates what is in the prefix cache of one engine, by what all hosts have sent there. */
export interface AgedCacheEstimate {
  /** Records a load of the engine that this host has just learned of. */
  recordLoad: (load: CacheLoad, nowMs: number) => void;
  /** Records that the engine has processed these parts, or that other hosts have sent requests with them. */
  recordUses: (hashes: readonly number[], nowMs: number) => void;
  /** Counts the tokens of the leading parts that are cached, each by its probability. */
  countCachedTokens: (parts: readonly SharedPromptPart[], options: CountOptions) => number;
}

/** How to count cached tokens. */
export interface CountOptions {
  nowMs: number;
  /** Memory of the engine in tokens. */
  memoryTokens: number;
  /** How far parts count by what the engine has processed instead of by a fixed time; 0 by default. */
  cacheAging?: number;
}

interface PartUse {
  /** Tokens that the engine had processed at the last use. */
  usedAtTokens: number;
  usedAtMs: number;
}

const MAX_PARTS = 1000; // bounds the memory used per engine
const UNUSED: PartUse = { usedAtTokens: -Infinity, usedAtMs: -Infinity };

/** Creates the estimate for an engine with an empty prefix cache. */
export function createAgedCacheEstimate(startedAtMs: number): AgedCacheEstimate {
  let state = createCacheState(startedAtMs);
  /** Uses by hash of the part, the least recent first. */
  const uses = new Map<number, PartUse>();
  const computeShare = (hash: number, options: CountOptions): number => {
    const { nowMs, memoryTokens, cacheAging = 0 } = options;
    const { usedAtTokens, usedAtMs } = uses.get(hash) ?? UNUSED;
    const sinceTokens = state.processedTokens - usedAtTokens;
    const agedShare = computeHoldProbability({ sinceTokens, memoryTokens });
    const fixedShare = nowMs - usedAtMs <= RETENTION_MS ? 1 : 0;
    return cacheAging * agedShare + (1 - cacheAging) * fixedShare;
  };
  return {
    recordLoad: (load, nowMs) => {
      state = updateCacheState(state, load, nowMs);
    },
    recordUses: (hashes, nowMs) => {
      for (const hash of hashes) {
        uses.delete(hash);
        uses.set(hash, { usedAtTokens: state.processedTokens, usedAtMs: nowMs });
      }
      for (const oldest of uses.keys()) {
        if (uses.size <= MAX_PARTS) break;
        uses.delete(oldest);
      }
    },
    countCachedTokens: (parts, options) => {
      let tokens = 0;
      let share = 1;
      for (const part of parts) {
        // A part is of use only with those before it.
        share = Math.min(share, computeShare(hashPart(part.key), options));
        tokens += share * part.tokens;
      }
      return tokens;
    },
  };
}
