/** A backend server as routing sees it, with the combined load from all hosts. */
export interface ServerCandidate {
  id: string;
  /** Requests in flight. */
  active: number;
  /** Requests that it processes concurrently. */
  slots: number;
  /** Tokens that wait to be processed, of requests whose response has not begun. */
  backlogTokens: number;
  /** The part of the backlog that belongs to urgent requests. */
  urgentBacklogTokens: number;
  /** Memory in tokens that requests in flight reserve. */
  reservedTokens: number;
  /** Memory capacity in tokens; 0 for servers without models. */
  memoryTokens: number;
  /** Tokens of the shared prompt prefix that it processed recently and is likely to have cached. */
  cachedTokens: number;
  /** Whether the requested adapter is loaded; true when the request needs none. */
  holdsAdapter: boolean;
  /** Whether it is in the same data centre as this host. */
  isInLocalDataCentre: boolean;
  /** Fraction of its recent attempts that failed, from 0 to 1. */
  failureRate: number;
  /** Typical service time of a request. */
  serviceTimeMs: number;
  /** Ratio of the measured to the estimated time to first byte. */
  latencyRatio: number;
  /** Share of slow streams above the median of its service, from 0 to 1; 0 by default. */
  slowShare?: number;
  /** Milliseconds until it wants another request. */
  waitMs: number;
  /** Milliseconds until it counts as warm; absent and 0 when it is. */
  coldMs?: number;
}

/** A part of a prompt that other requests share. */
export interface SharedPromptPart {
  /** Identifies the part together with its model and adapter. */
  key: string;
  tokens: number;
}

/** The properties of a request that routing depends on. */
export interface RoutedRequest {
  /** Equal for requests that share a prompt prefix; empty when nothing is shared. */
  affinityKey: string;
  /** Leading parts of the prompt that a server may have cached, in their order. */
  sharedParts: readonly SharedPromptPart[];
  /** Total tokens of the shared parts. */
  sharedTokens: number;
  /** Whether engines process it before requests that are not urgent. */
  isUrgent: boolean;
  /** Whether its caller accepts pauses between events up to a limit only; false by default. */
  hasPauseTarget?: boolean;
  /** Tokens that are not shared: the rest of the prompt and the maximum output. */
  unsharedTokens: number;
  /** Maximum output, part of `unsharedTokens`; 0 by default. */
  outputTokens?: number;
}

/** A candidate with the estimated delay of a request on it. */
export interface RankedServer {
  candidate: ServerCandidate;
  delayMs: number;
  /** The delay, with what the request costs others and a random part; servers are ranked by it. */
  scoreMs: number;
  /** Tokens of the request that are not in the prefix cache, the maximum output included. */
  uncachedTokens: number;
}
