import { PROMPT_TOKENS_PER_MS } from '../../serving/constants.js';
import type { CacheLoad, CacheState } from '../types.js';

const MAX_SPAN_MS = 2000; // ten rounds without a view; an older load says nothing of the time since

/** Creates the state of a prefix cache of which nothing is known. */
export function createCacheState(nowMs: number): CacheState {
  return { processedTokens: 0, atMs: nowMs };
}

/**
 * Updates the estimate of what an engine has processed with a load that a host knows of. An engine with a
 * backlog processes at its rate; so does, as far as the host can tell, one of which it has heard nothing for
 * long. Answers the load of engines whose caches turn over within two seconds or keep prefixes for
 * minutes, depending on what they process.
 */
export function updateCacheState(
  state: CacheState,
  { backlogTokens, latencyRatio }: CacheLoad,
  nowMs: number,
): CacheState {
  const spanMs = Math.max(0, nowMs - state.atMs);
  const isBusy = backlogTokens > 0 || spanMs > MAX_SPAN_MS;
  const tokens = isBusy ? (spanMs * PROMPT_TOKENS_PER_MS) / latencyRatio : 0;
  return { processedTokens: state.processedTokens + tokens, atMs: nowMs };
}
