import { computeElapsedMs, readMoment, type Moment } from '../../common/moment.js';
import type { Clock } from '../../ports/clock.js';

/** How old the list of servers of this host may be, whichever way its news came. */
export interface ListAge {
  /** Records that the list contained all changes up to a moment; an earlier one has no effect. */
  recordComplete: (asOf: Moment) => void;
  /** Milliseconds since the last moment up to which the list is known to be complete; Infinity before the first list. */
  getAgeMs: () => number;
}

/** Creates the age of a list that was never read; `onComplete` is called with each `recordComplete`. */
export function createListAge(
  clock: Clock,
  { onComplete = () => undefined }: { onComplete?: () => void } = {},
): ListAge {
  let completeAsOf: Moment | undefined;
  const getAgeMs = (): number =>
    completeAsOf === undefined
      ? Infinity
      : Math.max(0, computeElapsedMs(completeAsOf, readMoment(clock)));
  return {
    recordComplete: (asOf) => {
      if (computeElapsedMs(asOf, readMoment(clock)) < getAgeMs()) completeAsOf = asOf;
      onComplete();
    },
    getAgeMs,
  };
}
