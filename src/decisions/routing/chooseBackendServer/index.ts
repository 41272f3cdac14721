import { hashRendezvous } from '../hashRendezvous/index.js';
import type { Candidate } from '../types.js';

/** Options of chooseBackendServer. */
export interface ChooseBackendServerOptions {
  /** Start of the prompt; requests that share it prefer one server, so that its prefix cache has it. */
  prefix?: string;
  /** Highest load of the preferred server relative to the average; 1.25 by default. */
  maximumLoadRatio?: number;
  /** Returns a random number in [0, 1); Math.random by default. */
  random?: () => number;
}

function findPreferred(candidates: readonly Candidate[], prefix: string): Candidate | undefined {
  const hashed = candidates.map((candidate) => ({
    candidate,
    hash: hashRendezvous(prefix, candidate.id),
  }));
  return hashed.reduce<(typeof hashed)[number] | undefined>(
    (best, item) => (best === undefined || item.hash > best.hash ? item : best),
    undefined,
  )?.candidate;
}

function isWithinMaximumLoad(
  candidate: Candidate,
  candidates: readonly Candidate[],
  maximumLoadRatio: number,
): boolean {
  const total = candidates.reduce((sum, { inFlight }) => sum + inFlight, 0);
  return candidate.inFlight <= Math.ceil((maximumLoadRatio * (total + 1)) / candidates.length);
}

function pickRandom(candidates: readonly Candidate[], random: () => number): Candidate | undefined {
  return candidates[Math.min(candidates.length - 1, Math.floor(random() * candidates.length))];
}

/**
 * Chooses a backend server below its concurrency limit (`window`): the one that is likely to have the
 * prefix in its cache unless its load exceeds the maximum ratio (rendezvous hashing with bounded
 * loads), otherwise the less loaded of two random ones (power of two choices).
 */
export function chooseBackendServer(
  candidates: readonly Candidate[],
  options: ChooseBackendServerOptions = {},
): Candidate | undefined {
  const { prefix, maximumLoadRatio = 1.25, random = Math.random } = options;
  const available = candidates.filter(({ inFlight, window }) => inFlight < window);
  if (available.length < 2) return available[0];
  const preferred = prefix === undefined ? undefined : findPreferred(candidates, prefix);
  if (preferred !== undefined && available.includes(preferred))
    if (isWithinMaximumLoad(preferred, candidates, maximumLoadRatio)) return preferred;
  const first = pickRandom(available, random);
  const second = pickRandom(
    available.filter((candidate) => candidate !== first),
    random,
  );
  if (first === undefined || second === undefined) return first;
  return second.inFlight / second.window < first.inFlight / first.window ? second : first;
}
