import type { Clock } from '../ports/clock.js';

/** A moment on both clocks of this host. */
export interface Moment {
  monotonicMs: number;
  wallMs: number;
}

/** Reads both clocks. */
export function readMoment(clock: Clock): Moment {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/** Returns the moment that is the given milliseconds later, or earlier if negative. */
export function addMilliseconds(moment: Moment, milliseconds: number): Moment {
  return {
    monotonicMs: moment.monotonicMs + milliseconds,
    wallMs: moment.wallMs + milliseconds,
  };
}

/**
 * Computes the milliseconds since a moment by the clock that shows more: the monotonic clock stands
 * still while a host is suspended, and the wall clock may be set back.
 */
export function computeElapsedMs(since: Moment, now: Moment): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}
