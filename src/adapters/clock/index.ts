import type { Clock } from '../../ports/clock.js';

/** Clock of this machine. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};
