/** The times of a request that depend on when it is sent. */
export interface LatestStartOptions {
  arrivedAtMs: number;
  /** Deadline of the caller. */
  deadlineAtMs: number;
  /** Target time to the first event. */
  latencyTargetMs: number;
  /** Multiples of that target within which the first event is in time. */
  targets: number;
  /** Estimated time to the first event once it is sent. */
  delayMs: number;
}

/** Computes the latest moment at which a request that is sent begins in time. */
export function computeLatestStart(options: LatestStartOptions): number {
  const { arrivedAtMs, deadlineAtMs, latencyTargetMs, targets, delayMs } = options;
  return Math.min(arrivedAtMs + targets * latencyTargetMs, deadlineAtMs) - delayMs;
}
