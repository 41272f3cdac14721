import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { RequestClass } from '../../decisions/bundle/types.js';
import { LoadKind, type TraceEntry } from '../types.js';

/** Model or path with the kind and class of its requests. */
export interface TraceTarget {
  name: string;
  kind: LoadKind;
  class: RequestClass;
}

/** Options of a trace. */
export interface CreateTraceOptions {
  seed: number;
  seconds: number;
  requestsPerSecond: number;
  targets: readonly TraceTarget[];
  /** Organisations in descending order of load. */
  organisations: readonly string[];
  hosts: number;
  /** Zipf exponent of the load by organisation; 0 is uniform, default 1. */
  organisationSkew?: number;
  /** Zipf exponent of the load by host; default 0. */
  hostSkew?: number;
  /** Number of times that demand shifts between the two halves of the targets; default 1. */
  moves?: number;
  maximumTokens?: number;
}

const MS_PER_SECOND = 1000;
/** Ratio of the demand for the busier half of the targets to that for the other half. */
const DEMAND_SHIFT_FACTOR = 10;

function buildWeights(count: number, exponent: number): number[] {
  return Array.from({ length: count }, (_unused, index) => 1 / (index + 1) ** exponent);
}

function pickByWeight(weights: readonly number[], random: () => number): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let remaining = random() * total;
  for (const [index, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining < 0) return index;
  }
  return weights.length - 1;
}

/** Gives every second target the higher weight; the two halves alternate with each phase. */
function buildTargetWeights(count: number, phase: number): number[] {
  return Array.from({ length: count }, (_unused, index) =>
    (index + phase) % 2 === 0 ? DEMAND_SHIFT_FACTOR : 1,
  );
}

/** Creates a seeded trace of Poisson arrivals; the same options give the same trace. */
export function createTrace(options: CreateTraceOptions): TraceEntry[] {
  const { seed, seconds, requestsPerSecond, targets, organisations, hosts } = options;
  const { organisationSkew = 1, hostSkew = 0, moves = 1, maximumTokens = 32 } = options;
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const organisationWeights = buildWeights(organisations.length, organisationSkew);
  const hostWeights = buildWeights(hosts, hostSkew);
  const phaseMs = (seconds * MS_PER_SECOND) / (moves + 1);
  const trace: TraceEntry[] = [];
  for (let atMs = 0; ;) {
    atMs += (-Math.log(1 - random()) * MS_PER_SECOND) / requestsPerSecond;
    if (atMs >= seconds * MS_PER_SECOND) return trace;
    const weights = buildTargetWeights(targets.length, Math.floor(atMs / phaseMs));
    const target = targets[pickByWeight(weights, random)];
    if (target === undefined) return trace;
    trace.push({
      atMs: Math.round(atMs),
      kind: target.kind,
      class: target.class,
      target: target.name,
      organisation: organisations[pickByWeight(organisationWeights, random)] ?? '',
      host: pickByWeight(hostWeights, random),
      promptWords: 4 + Math.floor(random() * 40),
      maximumTokens: 1 + Math.floor(random() * maximumTokens),
    });
  }
}
