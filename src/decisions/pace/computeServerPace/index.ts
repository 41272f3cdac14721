import type { PaceSample, ServerPace } from '../types.js';

// A server counts as an ordinary one until a few responses tell otherwise.
const PRIOR_STREAMS = 3;
const PRIOR_ESTIMATED_MS = 400;
const MIN_LATENCY_RATIO = 0.3; // the fastest model takes a third of the time of the slowest one
const MAX_LATENCY_RATIO = 8; // the slowdown of a degraded server

/** Computes the pace of a server from the recent sample of all hosts. */
export function computeServerPace(sample: PaceSample): ServerPace {
  const ratio =
    (sample.measuredMs + PRIOR_ESTIMATED_MS) / (sample.estimatedMs + PRIOR_ESTIMATED_MS);
  return {
    slowShare: sample.slowStreams / (sample.streams + PRIOR_STREAMS),
    latencyRatio: Math.min(MAX_LATENCY_RATIO, Math.max(MIN_LATENCY_RATIO, ratio)),
  };
}
