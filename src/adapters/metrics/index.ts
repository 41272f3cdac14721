import { StatsD } from 'hot-shots';
import type { Metrics } from '../../ports/metrics.js';

const DEFAULT_STATSD_PORT = 8125;

/** Where metrics go. */
export interface CreateMetricsOptions {
  /** StatsD server as `address:port`; metrics are dropped when left out. */
  statsd?: string;
  /** Tags on every metric. */
  tags?: Record<string, string>;
}

/** Creates StatsD metrics by hot-shots; a lost datagram is never an error. */
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
    increment: (name, count = 1, ownTags = {}) => {
      if (statsd !== undefined) client.increment(name, count, ownTags);
    },
    gauge: (name, value, ownTags = {}) => {
      if (statsd !== undefined) client.gauge(name, value, ownTags);
    },
    timing: (name, milliseconds, ownTags = {}) => {
      if (statsd !== undefined) client.timing(name, milliseconds, ownTags);
    },
    close: () => {
      client.close(() => undefined);
    },
  };
}
