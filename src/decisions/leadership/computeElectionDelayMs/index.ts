/** A host that may become the leader. */
export interface ElectionCandidate {
  name: string;
  /** Store revision of its registration, which increases with each start of the host. */
  revision: number;
  linkMbps: number;
}

const RANK_DELAY_MS = 80; // the winner connects to the others meanwhile, and they give up
const MAX_RANK_DELAY_MS = 700;
const SLOW_LINK_MBPS = 50; // five 4 kB views per second to 300 hosts need 48 Mbit/s
const SLOW_LINK_DELAY_MS = 400; // lets hosts with faster links try first

/** Tells whether a host's link is fast enough to run for leader without a delay. */
export function isFastLink(linkMbps: number): boolean {
  return linkMbps >= SLOW_LINK_MBPS;
}

/**
 * Computes how many milliseconds a host waits before it tries to become the leader while there is
 * none. Hosts with faster links go first, because the leader sends to all other hosts. Among equal
 * links the hosts that started last go first: in a rolling restart they have already been
 * restarted. `jitter` is a random number between 0 and 1.
 */
export function computeElectionDelayMs(
  own: ElectionCandidate,
  others: readonly ElectionCandidate[],
  jitter: number,
): number {
  const preferred = others.filter(
    ({ name, linkMbps, revision }) =>
      name !== own.name &&
      (linkMbps > own.linkMbps || (linkMbps === own.linkMbps && revision > own.revision)),
  );
  const slowLinkMs = isFastLink(own.linkMbps) ? 0 : SLOW_LINK_DELAY_MS;
  return (
    slowLinkMs +
    Math.min(MAX_RANK_DELAY_MS, preferred.length * RANK_DELAY_MS) +
    jitter * RANK_DELAY_MS
  );
}
