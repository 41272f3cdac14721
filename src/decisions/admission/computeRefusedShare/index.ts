/** The level before, and what has been measured since. */
export interface RefusedShareOptions {
  previous: RefusedShare;
  /** Pressure as computeServicePressure returns it, smoothed over a few rounds. */
  pressure: number;
  elapsedMs: number;
  /** Highest part of the work that may be refused. */
  maximum: number;
}

/** Part of the work that is refused. */
export interface RefusedShare {
  refusedShare: number;
  /** The lasting part of it, which holds the pressure at the border in a long shortage. */
  lastingShare: number;
}

const SHARE_PER_PRESSURE = 0.25; // higher ones oscillate, as figures are 200 to 400 ms old
const LASTING_PER_SECOND = 0.04; // the lasting part follows a shortage over ten seconds, not over the seconds of a queue
const MAX_EXCESS = 1.5;
/** How fast the refused part of the work falls a second, while engines are busy. */
const LOWERED_PER_SECOND = 0.15;
const FASTER_PER_SECOND = 0.6; // added where the pressure is 0, so that little is refused once a wave is over
const UNUSED_PRESSURE = 0.6; // engines have prompts enough above it

/**
 * Computes the part of the work of a service that is refused. Answers the load of waves above what the
 * engines process: it rises at once with the pressure above the border, and falls slowly, as requests
 * that were refused return. It does not add up the pressure of single rounds, as queues vary.
 */
export function computeRefusedShare(options: RefusedShareOptions): RefusedShare {
  const { previous, pressure, elapsedMs, maximum } = options;
  const seconds = elapsedMs / 1000;
  const excess = Math.min(MAX_EXCESS, Math.max(-1, pressure - 1));
  const unused = Math.max(0, 1 - pressure / UNUSED_PRESSURE);
  const lowered = (LOWERED_PER_SECOND + FASTER_PER_SECOND * unused) * seconds;
  const lastingShare = Math.min(
    maximum,
    Math.max(
      0,
      previous.lastingShare +
        LASTING_PER_SECOND * excess * seconds -
        FASTER_PER_SECOND * unused * seconds,
    ),
  );
  const wanted = lastingShare + SHARE_PER_PRESSURE * Math.max(0, excess);
  const lowest = previous.refusedShare - lowered;
  return { refusedShare: Math.min(maximum, Math.max(0, wanted, lowest)), lastingShare };
}
