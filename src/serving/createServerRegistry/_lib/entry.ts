import { hashParts } from '../../../decisions/prefixCache/hashPart/index.js';
import type { SharedPromptPart } from '../../../decisions/serving/types.js';
import type { BackendServer } from '../../../ports/serving.js';
import type { LoadOptions } from '../../loadOptions.js';
import type { ListCandidatesOptions, ServerLoad } from '../types.js';
import {
  createAgedCacheEstimate,
  type AgedCacheEstimate,
  type CountOptions,
} from './createAgedCacheEstimate.js';
import {
  createPrefixCacheEstimate,
  type PrefixCacheEstimate,
} from './createPrefixCacheEstimate.js';
import { createServerHealth, type ServerHealth } from './serverHealth.js';

/** A server with its state on this host. */
export interface Entry {
  server: BackendServer;
  load: ServerLoad;
  remoteLoad: ServerLoad;
  health: ServerHealth;
  /** Adapter states that override those last reported by the leader, with their expiry. */
  overrides: Map<string, { isLoaded: boolean; untilMs: number }>;
  missingModels: Map<string, number>;
  prefixCache: PrefixCacheEstimate;
  /** Undefined unless a setting asks for it. */
  agedCache: AgedCacheEstimate | undefined;
}

/** Load of a server without requests. */
export const NO_LOAD: ServerLoad = {
  active: 0,
  backlogTokens: 0,
  reservedTokens: 0,
  urgentBacklogTokens: 0,
};

/** Settings of the estimates of prefix caches; nothing by default. */
export type PrefixCacheOptions = Partial<Pick<LoadOptions, 'cacheAging' | 'prefixReports'>>;

/** Creates the entry of a server that has just become known. */
export function createEntry(
  server: BackendServer,
  options: { remoteLoad: ServerLoad; nowMs: number; prefixes: PrefixCacheOptions },
): Entry {
  const { remoteLoad, nowMs, prefixes } = options;
  const { cacheAging = 0, prefixReports = 0 } = prefixes;
  const isAged = cacheAging > 0 || prefixReports > 0;
  return {
    server,
    load: { ...NO_LOAD },
    remoteLoad,
    health: createServerHealth(nowMs),
    overrides: new Map(),
    missingModels: new Map(),
    prefixCache: createPrefixCacheEstimate(),
    agedCache: isAged ? createAgedCacheEstimate(nowMs) : undefined,
  };
}

/** Records in the estimate of the prefix cache what all hosts have sent to the server. */
export function recordCacheLoad(
  { load, remoteLoad, agedCache }: Entry,
  latencyRatio: number,
  nowMs: number,
): void {
  const backlogTokens = load.backlogTokens + remoteLoad.backlogTokens;
  agedCache?.recordLoad({ backlogTokens, latencyRatio }, nowMs);
}

/** Records that the server has processed the shared parts of a request. */
export function recordProcessed(
  { prefixCache, agedCache }: Entry,
  sharedParts: readonly SharedPromptPart[],
  nowMs: number,
): void {
  prefixCache.record(sharedParts, nowMs);
  agedCache?.recordUses(hashParts(sharedParts), nowMs);
}

/** Counts the tokens of the shared parts of a request that a server has probably cached. */
export function countCachedTokens(
  entry: Entry,
  { sharedParts = [], hasPauseTarget = false }: ListCandidatesOptions,
  options: CountOptions & { latencyRatio: number },
): number {
  const { prefixCache, agedCache } = entry;
  if (agedCache === undefined || !hasPauseTarget)
    return prefixCache.countCachedTokens(sharedParts, options.nowMs);
  // Without views the load of this host is the only one that it knows.
  recordCacheLoad(entry, options.latencyRatio, options.nowMs);
  return agedCache.countCachedTokens(sharedParts, options);
}
