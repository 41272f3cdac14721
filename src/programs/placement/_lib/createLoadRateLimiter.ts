import { MILLISECONDS_PER_SECOND } from '../../../decisions/rate/constants/index.js';
import type { Clock } from '../../../ports/clock.js';

/** Limits how many model loads start a second. */
export interface LoadRateLimiter {
  /** Counts the loads that may start now. */
  count: (loadsPerSecond: number) => number;
  take: (loads: number) => void;
}

/** Creates an allowance that saves up no more than a second's loads. */
export function createLoadRateLimiter(clock: Clock): LoadRateLimiter {
  let saved = 1;
  let atMs = clock.monotonicMs();
  return {
    count: (loadsPerSecond) => {
      const nowMs = clock.monotonicMs();
      const added = ((nowMs - atMs) * loadsPerSecond) / MILLISECONDS_PER_SECOND;
      saved = Math.min(Math.max(1, loadsPerSecond), saved + added);
      atMs = nowMs;
      return Math.floor(saved);
    },
    take: (loads) => {
      saved -= loads;
    },
  };
}
