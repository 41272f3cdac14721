/** A stream on a server, as far as its pace is concerned. */
export interface SlowStreamOptions {
  /** Fraction by which the server's share of slow streams exceeds that of others, from 0 to 1. */
  slowShare: number;
  /** Whether the route declares the longest pause between events. */
  hasPauseTarget: boolean;
}

// Below the time by which first events become late on the other engines when these are near their capacity.
const SLOW_STREAM_MS = 500;

/**
 * Computes how many milliseconds of delay a server's pace counts for in the choice of a server. Answers
 * the load of long prompts on servers of different speeds: the first event comes soon everywhere, but on
 * a slow server the prompts of others make running streams pause beyond what their callers accept.
 */
export function computeSlowStreamCost({ slowShare, hasPauseTarget }: SlowStreamOptions): number {
  return hasPauseTarget ? SLOW_STREAM_MS * slowShare : 0;
}
