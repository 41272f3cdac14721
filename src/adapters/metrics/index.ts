import { StatsD } from 'hot-shots';
import type { Metrics } from '../../ports/metrics.js';

const DEFAULT_STATSD_PORT = 8125;

/** Destination and common tags of metrics. */
export interface CreateMetricsOptions {
  /** StatsD server as `address:port`; without one, metrics are discarded. */
  statsd?: string;
  /** Tags added to every metric. */
  tags?: Record<string, string>;
}

/** Creates metrics that hot-shots sends to StatsD; send errors are ignored. */
export function createMetrics(options: CreateMetricsOptions = {}): Metrics {
  const { statsd, tags = {} } = options;
  const separator = statsd?.lastIndexOf(':') ?? -1;
  const client = new StatsD({
    prefix: 'bronzelanding.',
    globalTags: tags,
    mock: statsd === undefined,
    host: statsd?.slice(0, separator) ?? '127.0.0.1',
    port: Number(statsd?.slice(separator + 1) ?? DEFAULT_STATSD_PORT),
    maxBufferSize: statsd === undefined ? 0 : 1400,
    errorHandler: () => undefined,
  });
  if (statsd === undefined) client.mockBuffer = undefined;
  return {
    increment: (name, count = 1, extraTags = {}) => {
      if (statsd !== undefined) client.increment(name, count, extraTags);
    },
    gauge: (name, value, extraTags = {}) => {
      if (statsd !== undefined) client.gauge(name, value, extraTags);
    },
    timing: (name, milliseconds, extraTags = {}) => {
      if (statsd !== undefined) client.timing(name, milliseconds, extraTags);
    },
    close: () => {
      client.close(() => undefined);
    },
  };
}
