/** Source of time, which tests replace. */
export interface Clock {
  /** Milliseconds of a monotonic clock; only differences are meaningful. */
  monotonicMs: () => number;
  /** Milliseconds since the Unix epoch; for records, never for leases, timeouts or deadlines. */
  wallMs: () => number;
}
