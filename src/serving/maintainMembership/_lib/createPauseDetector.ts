import { MAX_TICK_GAP_MS } from '../../../decisions/leadership/isLeaseValid/index.js';
import type { Clock } from '../../../ports/clock.js';

/** Detects pauses of this process, during which a lease may have expired. */
export interface PauseDetector {
  start: () => void;
  stop: () => void;
  /** Monotonic time of the last tick of the timer that shows that the process runs. */
  getLastTickAtMs: () => number;
}

const TICK_INTERVAL_MS = 100; // four ticks fit into MAX_TICK_GAP_MS

/** Creates a detector that is stopped; `onPause` gets the length of each pause in milliseconds. */
export function createPauseDetector(
  clock: Clock,
  onPause: (pauseMs: number) => void,
): PauseDetector {
  let lastTickAtMs = clock.monotonicMs();
  let timer: NodeJS.Timeout | undefined;
  const tick = (): void => {
    const gapMs = clock.monotonicMs() - lastTickAtMs;
    lastTickAtMs += gapMs;
    if (gapMs > MAX_TICK_GAP_MS) onPause(gapMs);
  };
  return {
    start: () => {
      clearInterval(timer);
      lastTickAtMs = clock.monotonicMs();
      timer = setInterval(tick, TICK_INTERVAL_MS).unref();
    },
    stop: () => {
      clearInterval(timer);
      lastTickAtMs = clock.monotonicMs();
    },
    getLastTickAtMs: () => lastTickAtMs,
  };
}
