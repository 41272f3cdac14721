import { hashRendezvous } from '../hashRendezvous/index.js';
import type { Candidate } from '../types.js';

/** Options of the choice of a backend server. */
export interface ChooseBackendServerOptions {
  /** Start of the prompt; requests that share it prefer one server, which has it in its cache. */
  prefix?: string;
  /** How far above the average load the preferred server may be; 1.25 by default. */
  maximumLoadRatio?: number;
  /** Random number from 0 up to 1. */
  random?: () => number;
}

function findPreferred(candidates: readonly Candidate[], prefix: string): Candidate | undefined {
  const ranked = candidates.map((candidate) => ({
    candidate,
    rank: hashRendezvous(prefix, candidate.id),
  }));
  return ranked.reduce<(typeof ranked)[number] | undefined>(
    (best, item) => (best === undefined || item.rank > best.rank ? item : best),
    undefined,
  )?.candidate;
}

function isWithinBound(
  candidate: Candidate,
  candidates: readonly Candidate[],
  loadBound: number,
): boolean {
  const total = candidates.reduce((sum, { inFlight }) => sum + inFlight, 0);
  return candidate.inFlight <= Math.ceil((loadBound * (total + 1)) / candidates.length);
}

function pickOne(candidates: readonly Candidate[], random: () => number): Candidate | undefined {
  return candidates[Math.min(candidates.length - 1, Math.floor(random() * candidates.length))];
}

/**
 * Chooses a backend server with room in its window: the one whose cache likely holds the prefix,
 * unless it is loaded above the bound, else the less loaded of two at random.
 */
export function chooseBackendServer(
  candidates: readonly Candidate[],
  options: ChooseBackendServerOptions = {},
): Candidate | undefined {
  const { prefix, maximumLoadRatio = 1.25, random = Math.random } = options;
  const open = candidates.filter(({ inFlight, window }) => inFlight < window);
  if (open.length < 2) return open[0];
  const preferred = prefix === undefined ? undefined : findPreferred(candidates, prefix);
  if (preferred !== undefined && open.includes(preferred))
    if (isWithinBound(preferred, candidates, maximumLoadRatio)) return preferred;
  const first = pickOne(open, random);
  const second = pickOne(
    open.filter((candidate) => candidate !== first),
    random,
  );
  if (first === undefined || second === undefined) return first;
  return second.inFlight / second.window < first.inFlight / first.window ? second : first;
}
