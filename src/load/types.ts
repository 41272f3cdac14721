import type { RequestClass } from '../decisions/bundle/types.js';

/** Kinds of requests that the load consists of. */
export const LoadKind = {
  completion: 'completion',
  stream: 'stream',
  lookup: 'lookup',
  keyed: 'keyed',
} as const;
export type LoadKind = (typeof LoadKind)[keyof typeof LoadKind];

/** One request of a trace. */
export interface TraceEntry {
  /** Milliseconds after the start at which it is due, whatever became of earlier ones. */
  atMs: number;
  kind: LoadKind;
  organisation: string;
  /** Index of the entry host. */
  host: number;
  /** Model or adapter; a path for lookups and keyed requests. */
  target: string;
  promptWords: number;
  maximumTokens: number;
  class: RequestClass;
}

/** How a request of a trace ended. */
export interface TraceResult {
  entry: TraceEntry;
  /** HTTP status; 0 when the connection broke. */
  status: number;
  outcome: string;
  /** Whether the answer was whole and the right one. */
  isWhole: boolean;
  /** Milliseconds from when it was due to the first byte. */
  firstByteMs: number;
  /** Milliseconds from when it was due to the end. */
  totalMs: number;
}

/** Percentiles of one kind of request in milliseconds. */
export interface Percentiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** What a run came to. */
export interface LoadReport {
  seconds: number;
  requests: number;
  whole: number;
  refused: number;
  failed: number;
  /** Whole answers in time for each request that was due. */
  attainment: number;
  byOrganisation: Record<
    string,
    { requests: number; whole: number; refused: number; attainment: number }
  >;
  byClass: Record<string, { attainment: number; first: Percentiles; total: Percentiles }>;
  /** Requests and whole answers in each second. */
  timeline: { second: number; requests: number; whole: number; refused: number }[];
}
