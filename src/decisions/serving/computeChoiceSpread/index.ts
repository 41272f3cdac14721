const SPREAD_PER_DOUBLING = 0.4; // three times the cost of a request among 200 hosts

/**
 * Computes by how much a host randomises its estimates before it chooses a server, in multiples of
 * the time that the request takes there; 0 for a single host, which knows all load. Answers the
 * load of many hosts that decide from figures of the same moment: without it they all send their
 * requests of the next few hundred milliseconds to the server that was the least loaded one.
 */
export function computeChoiceSpread(hostCount: number): number {
  return SPREAD_PER_DOUBLING * Math.log2(Math.max(1, hostCount));
}
