import type { Clock } from '../../ports/clock.js';

/** Clock backed by the system's monotonic and wall clocks. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};
