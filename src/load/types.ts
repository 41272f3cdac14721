import type { RequestClass } from '../decisions/bundle/types.js';

/** Kinds of requests in a trace. */
export const LoadKind = {
  completion: 'completion',
  stream: 'stream',
  /** GET request to a plain service. */
  lookup: 'lookup',
  /** POST request to a plain service with an Idempotency-Key. */
  keyed: 'keyed',
} as const;
export type LoadKind = (typeof LoadKind)[keyof typeof LoadKind];

/** One request of a trace. */
export interface TraceEntry {
  /** Milliseconds after the start at which the request is due, independent of earlier requests. */
  atMs: number;
  kind: LoadKind;
  organisation: string;
  /** Index of the entry host that the request is sent to. */
  host: number;
  /** Model or adapter; the path for lookups and keyed requests. */
  target: string;
  promptWords: number;
  maximumTokens: number;
  class: RequestClass;
}

/** Result of one request of a trace. */
export interface TraceResult {
  entry: TraceEntry;
  /** HTTP status; 0 when the connection failed. */
  status: number;
  outcome: string;
  /** Whether the response was complete and had the expected content. */
  isWhole: boolean;
  /** Milliseconds from the due time to the first byte. */
  firstByteMs: number;
  /** Milliseconds from the due time to the end of the response. */
  totalMs: number;
}

/** Latency percentiles of a group of requests in milliseconds. */
export interface Percentiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** Summary of a load run. */
export interface LoadReport {
  seconds: number;
  requests: number;
  whole: number;
  refused: number;
  failed: number;
  /** Ratio of requests with a complete response whose first byte arrived within the target of the class. */
  attainment: number;
  byOrganisation: Record<
    string,
    { requests: number; whole: number; refused: number; attainment: number }
  >;
  byClass: Record<string, { attainment: number; first: Percentiles; total: Percentiles }>;
  /** Requests by the second in which they were due, with their results. */
  timeline: { second: number; requests: number; whole: number; refused: number }[];
}
