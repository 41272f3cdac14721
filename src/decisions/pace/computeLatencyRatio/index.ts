/** What is known of the time to first byte of one server. */
export interface LatencyRatioOptions {
  /** Ratio as this host measured it. */
  ownRatio: number;
  /** Responses of the server that this host measured. */
  ownResponses: number;
  /** Ratio as all hosts measured it to that of the other servers; undefined where nobody told. */
  fleetRatio?: number;
}

const SUFFICIENT_RESPONSES = 10; // the span of the average that each host keeps

/**
 * Computes the ratio of the real to the estimated time to first byte of a server. Answers the load of
 * many hosts on many servers of different speeds: each host sees one or two responses of a server in
 * half a minute, so that only all of them together learn which servers are slow. A host with enough
 * responses of its own relies on these, which are newer. The fleet's ratio is relative, so that nothing
 * changes where all servers are alike.
 */
export function computeLatencyRatio(options: LatencyRatioOptions): number {
  const { ownRatio, ownResponses, fleetRatio = 1 } = options;
  const ownWeight = Math.min(1, ownResponses / SUFFICIENT_RESPONSES);
  return ownRatio * (1 + (1 - ownWeight) * (fleetRatio - 1));
}
