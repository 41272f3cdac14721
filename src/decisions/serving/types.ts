/** A backend server as routing sees it, with the load of all hosts together. */
export interface ServerCandidate {
  id: string;
  /** Requests on their way. */
  active: number;
  /** Requests that it works on at once. */
  slots: number;
  /** Prompt tokens of requests that have had no answer yet. */
  backlogTokens: number;
  /** Those of urgent requests alone. */
  urgentBacklogTokens: number;
  /** Tokens of running requests that can't yield. */
  reservedTokens: number;
  /** Tokens that fit into its memory; 0 for servers without models. */
  memoryTokens: number;
  /** Tokens of the request's shared start that it is known to have read lately. */
  cachedTokens: number;
  /** Whether the adapter that the request asks for is there; true when it asks for none. */
  holdsAdapter: boolean;
  /** Whether it is in the data centre of this host. */
  isInLocalDataCentre: boolean;
  /** Part of the last requests that it failed, from 0 to 1. */
  failureRate: number;
  /** Typical time of a request in milliseconds. */
  serviceTimeMs: number;
  /** How many times longer than estimated its first answers take. */
  latencyRatio: number;
}

/** A part of a prompt that other requests share. */
export interface SharedPromptPart {
  /** Names the part for one model and adapter. */
  key: string;
  tokens: number;
}

/** What routing needs to know of a request. */
export interface RoutedRequest {
  /** Requests with the same key share the start of their prompt; empty when nothing is shared. */
  affinityKey: string;
  /** Parts at the start of the prompt that a server may have kept, by model, adapter and id. */
  sharedParts: readonly SharedPromptPart[];
  /** Tokens of these parts together. */
  sharedTokens: number;
  /** Whether engines take it before requests that are not urgent. */
  isUrgent: boolean;
  /** Tokens that need memory of their own. */
  ownTokens: number;
}

/** A candidate with the delay that a request would meet there. */
export interface RankedServer {
  candidate: ServerCandidate;
  delayMs: number;
  /** Prompt tokens that the server would have to read. */
  uncachedTokens: number;
}
