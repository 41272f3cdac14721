/** A host that may take the command. */
export interface ElectionCandidate {
  name: string;
  /** Of its entry in the store, which rises with each start. */
  revision: number;
  linkMbps: number;
}

const RANK_MS = 80; // spreads the hosts that try to take the command
const MOST_RANK_MS = 400; // a rank further back waits no longer
const WEAK_LINK_MBPS = 50; // five views a second of 4 kB to 300 hosts take 48
const WEAK_MS = 1000; // in which a host with a better link has had its turn

/**
 * Computes the milliseconds that a host waits before it takes a vacant command. Hosts with better
 * links go first, as the holder sends to all others; then younger ones, which in planned work have
 * had their turn to be stopped. `draw` is between 0 and 1.
 */
export function computeElectionDelayMs(
  own: ElectionCandidate,
  others: readonly ElectionCandidate[],
  draw: number,
): number {
  const better = others.filter(
    ({ name, linkMbps, revision }) =>
      name !== own.name &&
      (linkMbps > own.linkMbps || (linkMbps === own.linkMbps && revision > own.revision)),
  );
  const weakMs = own.linkMbps < WEAK_LINK_MBPS ? WEAK_MS : 0;
  return weakMs + Math.min(MOST_RANK_MS, better.length * RANK_MS) + draw * RANK_MS;
}
