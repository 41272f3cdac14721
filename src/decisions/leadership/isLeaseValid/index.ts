/** What a host knows of the lease under which it holds the command. */
export interface LeaderLease {
  /** When the last renewal that was answered had been sent, on both clocks. */
  renewedAtMs: number;
  renewedAtWallMs: number;
  ttlMs: number;
  /** Last time that this host is known to have run, on the monotonic clock. */
  lastTickAtMs: number;
}

/** Time left of a lease below which no order is sent: the way to an engine and back. */
export const LEASE_MARGIN_MS = 600;
/** A short timer that is this late shows a pause of the process. */
export const MAX_TICK_GAP_MS = 400;
/** Clocks that drift apart by more show a suspended host or a set clock. */
export const MAX_CLOCK_SKEW_MS = 150;

/**
 * Decides whether a holder may order without asking the store. A paused process or a clock that
 * moved leaves the lease unknown, as the store may have given it to another host meanwhile.
 */
export function isLeaseValid(lease: LeaderLease, nowMs: number, wallMs: number): boolean {
  const elapsedMs = nowMs - lease.renewedAtMs;
  if (elapsedMs > lease.ttlMs - LEASE_MARGIN_MS) return false;
  if (nowMs - lease.lastTickAtMs > MAX_TICK_GAP_MS) return false;
  return Math.abs(wallMs - lease.renewedAtWallMs - elapsedMs) <= MAX_CLOCK_SKEW_MS;
}
