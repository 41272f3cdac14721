/** Tags of one metric. */
export type MetricTags = Record<string, string>;

/** Sink for the counters, gauges and timings of a program. */
export interface Metrics {
  increment: (name: string, count?: number, tags?: MetricTags) => void;
  gauge: (name: string, value: number, tags?: MetricTags) => void;
  /** Records a duration in milliseconds. */
  timing: (name: string, milliseconds: number, tags?: MetricTags) => void;
  close: () => void;
}
