import { build } from 'hdr-histogram-js';
import { RequestClass } from '../../decisions/bundle/types.js';
import type { LoadReport, Percentiles, TraceResult } from '../types.js';

/** Milliseconds per second, and microseconds per millisecond. */
const THOUSAND = 1000;
/** Upper bound of the histograms: ten minutes. */
const MAX_TRACKABLE_MICROSECONDS = 600_000_000;

/** Maximum time to first byte by class for a response to count as in time. */
export const FIRST_BYTE_TARGETS_MS: Record<RequestClass, number> = {
  [RequestClass.interactive]: 810,
  [RequestClass.standard]: 5000,
  [RequestClass.batch]: 60_000,
};

/** Computes the percentiles of latencies in milliseconds. */
export function computePercentiles(milliseconds: readonly number[]): Percentiles {
  const histogram = build({
    highestTrackableValue: MAX_TRACKABLE_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of milliseconds)
    histogram.recordValue(Math.max(1, Math.round(value * THOUSAND)));
  const getPercentileMs = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / THOUSAND;
  return {
    count: milliseconds.length,
    p50: getPercentileMs(50),
    p95: getPercentileMs(95),
    p99: getPercentileMs(99),
    max: milliseconds.length === 0 ? 0 : histogram.maxValue / THOUSAND,
  };
}

function isInTime({ entry, isWhole, firstByteMs }: TraceResult): boolean {
  return isWhole && firstByteMs <= FIRST_BYTE_TARGETS_MS[entry.class];
}

function isRefused({ status }: TraceResult): boolean {
  return status === 429 || status === 503;
}

function computeRatio(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}

function collectGroups(
  results: readonly TraceResult[],
  name: (result: TraceResult) => string,
): Map<string, TraceResult[]> {
  const groups = new Map<string, TraceResult[]>();
  for (const result of results) {
    const group = groups.get(name(result)) ?? [];
    group.push(result);
    groups.set(name(result), group);
  }
  return groups;
}

function summariseOrganisation(results: readonly TraceResult[]) {
  return {
    requests: results.length,
    whole: results.filter(({ isWhole }) => isWhole).length,
    refused: results.filter(isRefused).length,
    attainment: computeRatio(results.filter(isInTime).length, results.length),
  };
}

function summariseClass(results: readonly TraceResult[]) {
  const whole = results.filter(({ isWhole }) => isWhole);
  return {
    attainment: computeRatio(results.filter(isInTime).length, results.length),
    first: computePercentiles(whole.map(({ firstByteMs }) => firstByteMs)),
    total: computePercentiles(whole.map(({ totalMs }) => totalMs)),
  };
}

function buildTimeline(results: readonly TraceResult[]): LoadReport['timeline'] {
  const seconds = collectGroups(results, ({ entry }) => String(Math.floor(entry.atMs / THOUSAND)));
  return [...seconds]
    .map(([second, group]) => ({
      second: Number(second),
      requests: group.length,
      whole: group.filter(({ isWhole }) => isWhole).length,
      refused: group.filter(isRefused).length,
    }))
    .sort((one, other) => one.second - other.second);
}

/** Summarises the results of a load run by organisation, class and second. */
export function summariseRun(results: readonly TraceResult[], seconds: number): LoadReport {
  const whole = results.filter(({ isWhole }) => isWhole).length;
  const refused = results.filter(isRefused).length;
  const organisations = collectGroups(results, ({ entry }) => entry.organisation);
  const classes = collectGroups(results, ({ entry }) => entry.class);
  return {
    seconds,
    requests: results.length,
    whole,
    refused,
    failed: results.length - whole - refused,
    attainment: computeRatio(results.filter(isInTime).length, results.length),
    byOrganisation: Object.fromEntries(
      [...organisations].map(([name, group]) => [name, summariseOrganisation(group)]),
    ),
    byClass: Object.fromEntries([...classes].map(([name, group]) => [name, summariseClass(group)])),
    timeline: buildTimeline(results),
  };
}
