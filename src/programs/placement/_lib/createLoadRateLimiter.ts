import { MILLISECONDS_PER_SECOND } from '../../../decisions/rate/constants/index.js';
import type { Clock } from '../../../ports/clock.js';

/** Token bucket that limits how many model loads start per second. */
export interface LoadRateLimiter {
  /** Refills the bucket and returns the number of loads that may start now. */
  count: (loadsPerSecond: number) => number;
  /** Takes the tokens of loads that are started. */
  take: (loads: number) => void;
}

/** Creates a limiter whose burst is one load, or the loads of one second if that is more. */
export function createLoadRateLimiter(clock: Clock): LoadRateLimiter {
  let available = 1;
  let refilledAtMs = clock.monotonicMs();
  return {
    count: (loadsPerSecond) => {
      const nowMs = clock.monotonicMs();
      const refilled = ((nowMs - refilledAtMs) * loadsPerSecond) / MILLISECONDS_PER_SECOND;
      available = Math.min(Math.max(1, loadsPerSecond), available + refilled);
      refilledAtMs = nowMs;
      return Math.floor(available);
    },
    take: (loads) => {
      available -= loads;
    },
  };
}
