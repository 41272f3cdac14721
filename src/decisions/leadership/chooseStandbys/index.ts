import type { ElectionCandidate } from '../computeElectionDelayMs/index.js';

/** Options of chooseStandbys. */
export interface ChooseStandbysOptions {
  /** Number of standbys; 3 by default, so that one is left when two fail with the leader. */
  count?: number;
}

/**
 * Chooses the hosts that watch the leadership in the store, in the order in which hosts run for
 * leader: those with the fastest links, and among these the last started. All other hosts of a
 * large fleet need not watch it, as one of these becomes leader and connects to them.
 */
export function chooseStandbys(
  candidates: readonly ElectionCandidate[],
  options: ChooseStandbysOptions = {},
): ReadonlySet<string> {
  const { count = 3 } = options;
  return new Set(
    [...candidates]
      .sort((one, other) => other.linkMbps - one.linkMbps || other.revision - one.revision)
      .slice(0, count)
      .map(({ name }) => name),
  );
}
