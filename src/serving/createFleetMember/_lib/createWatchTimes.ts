import { isEveryWatchCurrent } from '../../../decisions/leadership/isEveryWatchCurrent/index.js';
import type { Clock } from '../../../ports/clock.js';
import { StoreWatch } from '../types.js';

/** When the store last answered the watches on which the other hosts rely. */
export interface WatchTimes {
  record: (watch: StoreWatch) => void;
  /** Forgets the answers to a host that did not lead yet, or leads no more. */
  reset: () => void;
  isEveryCurrent: () => boolean;
}

/** Creates the times of a host whose watches have not been answered. */
export function createWatchTimes(clock: Clock, watchTimeoutMs: number): WatchTimes {
  const answeredAtMs = new Map<StoreWatch, number>();
  const reset = (): void => {
    for (const watch of Object.values(StoreWatch)) answeredAtMs.set(watch, -Infinity);
  };
  reset();
  return {
    record: (watch) => void answeredAtMs.set(watch, clock.monotonicMs()),
    reset,
    isEveryCurrent: () =>
      isEveryWatchCurrent([...answeredAtMs.values()], watchTimeoutMs, clock.monotonicMs()),
  };
}
