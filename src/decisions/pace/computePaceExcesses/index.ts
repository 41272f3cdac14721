import { EMPTY_PACE_SAMPLE } from '../mergePaceSample/index.js';
import { computeServerPace } from '../computeServerPace/index.js';
import type { PaceSample, ServerPace } from '../types.js';

// Streams of one moment pause together, so that shares vary by more than their standard errors say.
const STANDARD_ERRORS = 3;
const DEVIATIONS = 3; // beyond what servers of one speed differ by
// The error of a share near 0 or 1 is that of a share of 0.1, as one slow stream tells little.
const MIN_SHARE = 0.1;
const PRIOR_STREAMS = 3; // as in the pace of a server
const MIN_RATIO_EXCESS = 1.3; // delay estimates are off by about 30 %
// Some ten responses; with fewer, the ratio is largely the one that a server starts with.
const MIN_ESTIMATED_MS = 400;
const MIN_SERVERS = 3; // of two servers, neither shows what is ordinary
const DEVIATION_PER_MEDIAN = 1.48; // standard over median absolute deviation of a normal distribution

function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? upper)) / 2;
}

/** Median of values, and the standard deviation that most of them suggest; outliers have no effect. */
function summariseValues(values: readonly number[]): { median: number; deviation: number } {
  const median = findMedian(values);
  const distances = values.map((value) => Math.abs(value - median));
  return { median, deviation: DEVIATION_PER_MEDIAN * findMedian(distances) };
}

/**
 * Computes how much slower servers of one service are than the median of them: the share of slow
 * streams above the median share, and the ratio of their latency ratio to the median one. Contains only
 * servers that are slower. Answers the load of callers that accept shorter pauses than any engine has:
 * there the absolute share follows the load of an engine instead of its speed, so that each engine
 * is avoided as soon as it works. With equally slow engines, nothing is avoided.
 */
export function computePaceExcesses(
  samples: ReadonlyMap<string, PaceSample>,
): Map<string, ServerPace> {
  const excesses = new Map<string, ServerPace>();
  if (samples.size < MIN_SERVERS) return excesses;
  const paces = new Map(
    [...samples].map(([server, sample]) => [server, computeServerPace(sample)]),
  );
  const shares = summariseValues([...paces.values()].map(({ slowShare }) => slowShare));
  const ratios = summariseValues([...paces.values()].map(({ latencyRatio }) => latencyRatio));
  const expectedShare = Math.min(1 - MIN_SHARE, Math.max(MIN_SHARE, shares.median));
  const variance = expectedShare * (1 - expectedShare);
  for (const [server, pace] of paces) {
    const { streams, estimatedMs } = samples.get(server) ?? EMPTY_PACE_SAMPLE;
    if (estimatedMs < MIN_ESTIMATED_MS) continue;
    const standardError = Math.sqrt(variance / (streams + PRIOR_STREAMS));
    const shareNoise = Math.max(STANDARD_ERRORS * standardError, DEVIATIONS * shares.deviation);
    const shareExcess = pace.slowShare - shares.median;
    const ratioExcess = pace.latencyRatio / ratios.median;
    const isRatioNoise = pace.latencyRatio - ratios.median < DEVIATIONS * ratios.deviation;
    // Its own speed makes the first events late as well; a share alone follows the load.
    if (ratioExcess <= MIN_RATIO_EXCESS || isRatioNoise) continue;
    const slowShare = shareExcess > shareNoise ? shareExcess : 0;
    excesses.set(server, { slowShare, latencyRatio: ratioExcess });
  }
  return excesses;
}
