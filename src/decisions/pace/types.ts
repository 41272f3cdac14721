/** What hosts measured of the responses of one server. */
export interface PaceSample {
  /** Streams of routes that declare a longest pause between events. */
  streams: number;
  /** Those of them that paused for longer. */
  slowStreams: number;
  /** Sum of the measured times to first byte in milliseconds. */
  measuredMs: number;
  /** Sum of the estimates for the same responses, made for a server of ordinary speed. */
  estimatedMs: number;
}

/** How a server paces its responses, as all hosts together measured it. */
export interface ServerPace {
  /** Fraction of its streams that pause for too long, from 0 to 1. */
  slowShare: number;
  /** Ratio of the measured to the estimated time to first byte. */
  latencyRatio: number;
}
