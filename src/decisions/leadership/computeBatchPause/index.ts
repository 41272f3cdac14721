/** Pause before the next watch, and the state for the next computation. */
export interface BatchPause {
  pauseMs: number;
  /** Time up to which changes have used up their share of calls. */
  usedUntilMs: number;
}

/**
 * Computes the pause after a watch that returned changes. A change that comes alone is followed by
 * the next watch at once; of many in quick succession one batch is read in each interval. Answers the
 * load of many changes at one moment, which each would cost a call, without a delay for a single
 * change that follows another one.
 */
export function computeBatchPause(
  usedUntilMs: number,
  nowMs: number,
  intervalMs: number,
): BatchPause {
  const nextUsedUntilMs = Math.max(usedUntilMs, nowMs) + intervalMs;
  return {
    pauseMs: Math.max(0, nextUsedUntilMs - nowMs - intervalMs),
    usedUntilMs: nextUsedUntilMs,
  };
}
