/** Time as the programs see it; tests pass a clock of their own. */
export interface Clock {
  /** Milliseconds that never go back; only differences have a meaning. */
  monotonicMs: () => number;
  /** Milliseconds since the Unix epoch; for records, never for terms or deadlines. */
  wallMs: () => number;
}
