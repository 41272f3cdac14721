/** How much a server may run at once so that its streams are on time. */
export interface ConcurrencyLimit {
  /** Requests in flight, of all hosts together. */
  requests: number;
  /** Tokens of memory that these hold. */
  tokens: number;
}

/** A limit with what is needed to learn the next one. */
export interface LearnedLimit extends ConcurrencyLimit {
  /** Decreases since streams were last on time. */
  decreases: number;
  /** Share of late streams before the first of these. */
  shareBefore: number;
  /** Until then, in monotonic milliseconds, the limit is not lowered. */
  heldUntilMs: number;
}

/** What was observed of a server since its limit was last learned. */
export interface ConcurrencyObservation {
  nowMs: number;
  /** Streams of routes that declare a longest pause, and those of them that were late. */
  streams: number;
  lateStreams: number;
  /** Most requests in flight, and most tokens that they held. */
  active: number;
  heldTokens: number;
  /** Capacities of the server. */
  slots: number;
  memoryTokens: number;
}
