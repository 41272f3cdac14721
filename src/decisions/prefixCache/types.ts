/** What a host estimates of the prefix cache of one engine. */
export interface CacheState {
  /** Tokens that the engine has processed since the host knows it. */
  processedTokens: number;
  /** Time of the last update. */
  atMs: number;
}

/** Load of an engine as far as its prefix cache is concerned. */
export interface CacheLoad {
  /** Tokens that wait to be processed. */
  backlogTokens: number;
  /** Ratio of the measured to the estimated time to first byte. */
  latencyRatio: number;
}
