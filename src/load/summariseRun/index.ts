import { build } from 'hdr-histogram-js';
import { RequestClass } from '../../decisions/bundle/types.js';
import type { LoadReport, Percentiles, TraceResult } from '../types.js';

const MILLISECONDS = 1000;
/** Histograms hold microseconds up to ten minutes. */
const HIGHEST_MICROSECONDS = 600_000_000;

/** Milliseconds to the first byte within which an answer of a class counts as in time. */
export const FIRST_BYTE_TARGETS_MS: Record<RequestClass, number> = {
  [RequestClass.interactive]: 810,
  [RequestClass.standard]: 5000,
  [RequestClass.batch]: 60_000,
};

/** Computes percentiles of milliseconds. */
export function computePercentiles(milliseconds: readonly number[]): Percentiles {
  const histogram = build({
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of milliseconds)
    histogram.recordValue(Math.max(1, Math.round(value * MILLISECONDS)));
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MILLISECONDS;
  return {
    count: milliseconds.length,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: milliseconds.length === 0 ? 0 : histogram.maxValue / MILLISECONDS,
  };
}

function isInTime({ entry, isWhole, firstByteMs }: TraceResult): boolean {
  return isWhole && firstByteMs <= FIRST_BYTE_TARGETS_MS[entry.class];
}

function isRefused({ status }: TraceResult): boolean {
  return status === 429 || status === 503;
}

function computePart(part: number, whole: number): number {
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
    attainment: computePart(results.filter(isInTime).length, results.length),
  };
}

function summariseClass(results: readonly TraceResult[]) {
  const whole = results.filter(({ isWhole }) => isWhole);
  return {
    attainment: computePart(results.filter(isInTime).length, results.length),
    first: computePercentiles(whole.map(({ firstByteMs }) => firstByteMs)),
    total: computePercentiles(whole.map(({ totalMs }) => totalMs)),
  };
}

function buildTimeline(results: readonly TraceResult[]): LoadReport['timeline'] {
  const seconds = collectGroups(results, ({ entry }) =>
    String(Math.floor(entry.atMs / MILLISECONDS)),
  );
  return [...seconds]
    .map(([second, group]) => ({
      second: Number(second),
      requests: group.length,
      whole: group.filter(({ isWhole }) => isWhole).length,
      refused: group.filter(isRefused).length,
    }))
    .sort((one, other) => one.second - other.second);
}

/** Summarises the results of a run. */
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
    attainment: computePart(results.filter(isInTime).length, results.length),
    byOrganisation: Object.fromEntries(
      [...organisations].map(([name, group]) => [name, summariseOrganisation(group)]),
    ),
    byClass: Object.fromEntries([...classes].map(([name, group]) => [name, summariseClass(group)])),
    timeline: buildTimeline(results),
  };
}
