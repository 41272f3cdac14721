/** A request that waits at a host for a server below its limit. */
export interface QueuedRequest {
  /** Equal for requests that the same servers can run. */
  key: string;
  /** Priority; 0 is the most urgent. */
  priority: number;
  /** Latest start, in monotonic milliseconds, with which it is still in time. */
  dueAtMs: number;
}
