import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { RequestClass } from '../../decisions/bundle/types.js';
import { LoadKind, type TraceEntry } from '../types.js';

/** A model or path with the kind and class of its requests. */
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
  /** Organisations, the busiest first. */
  organisations: readonly string[];
  hosts: number;
  /** Exponent of the skew between organisations; 0 is even, 1 by default. */
  organisationSkew?: number;
  /** Exponent of the skew between hosts; 0 by default. */
  hostSkew?: number;
  /** Times that the demand for targets moves tenfold; 1 by default. */
  moves?: number;
  maximumTokens?: number;
}

const MILLISECONDS = 1000;
/** Factor by which demand moves from one part of the targets to the other. */
const MOVE_FACTOR = 10;

function buildWeights(count: number, exponent: number): number[] {
  return Array.from({ length: count }, (_unused, index) => 1 / (index + 1) ** exponent);
}

function pickByWeight(weights: readonly number[], random: () => number): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = random() * total;
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return index;
  }
  return weights.length - 1;
}

/** Makes every other target ten times as busy, by turns. */
function buildTargetWeights(count: number, phase: number): number[] {
  return Array.from({ length: count }, (_unused, index) =>
    (index + phase) % 2 === 0 ? MOVE_FACTOR : 1,
  );
}

/** Creates a trace of Poisson arrivals from a seed; the same options give the same trace. */
export function createTrace(options: CreateTraceOptions): TraceEntry[] {
  const { seed, seconds, requestsPerSecond, targets, organisations, hosts } = options;
  const { organisationSkew = 1, hostSkew = 0, moves = 1, maximumTokens = 32 } = options;
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const organisationWeights = buildWeights(organisations.length, organisationSkew);
  const hostWeights = buildWeights(hosts, hostSkew);
  const phaseMs = (seconds * MILLISECONDS) / (moves + 1);
  const trace: TraceEntry[] = [];
  for (let atMs = 0; ;) {
    atMs += (-Math.log(1 - random()) * MILLISECONDS) / requestsPerSecond;
    if (atMs >= seconds * MILLISECONDS) return trace;
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
