/** Timing of the lease under which this host is the leader. */
export interface LeaderLease {
  /** Send time of the last successful renewal, on the monotonic clock. */
  renewedAtMs: number;
  /** The same time on the wall clock. */
  renewedAtWallMs: number;
  ttlMs: number;
  /** Last tick of the timer that shows that the process runs, on the monotonic clock. */
  lastTickAtMs: number;
}

/** Remaining lease time below which no order is sent: one round trip to an engine. */
export const LEASE_MARGIN_MS = 600;
/** Time without a timer tick above which the process counts as paused. */
export const MAX_TICK_GAP_MS = 400;
/** Difference between the two clocks since the renewal that shows a suspended host or a clock step. */
export const MAX_CLOCK_SKEW_MS = 150;

/**
 * Checks whether the leader may send orders without renewing its lease first. After a pause of the
 * process or a clock step it may not, as the lease may have expired and another host may be the
 * leader by now.
 */
export function isLeaseValid(lease: LeaderLease, nowMs: number, wallMs: number): boolean {
  const elapsedMs = nowMs - lease.renewedAtMs;
  if (elapsedMs > lease.ttlMs - LEASE_MARGIN_MS) return false;
  if (nowMs - lease.lastTickAtMs > MAX_TICK_GAP_MS) return false;
  return Math.abs(wallMs - lease.renewedAtWallMs - elapsedMs) <= MAX_CLOCK_SKEW_MS;
}
