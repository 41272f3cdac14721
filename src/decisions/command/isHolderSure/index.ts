/** What a host knows of the lease under which it holds the command. */
export interface HeldLease {
  /** When the last renewal that was answered had been sent, on both clocks. */
  renewedAtMs: number;
  renewedAtWallMs: number;
  ttlMs: number;
  /** Last time that this host is known to have run, on the monotonic clock. */
  lastTickMs: number;
}

/** Time left of a lease below which no order is sent: the way to an engine and back. */
export const LEASE_MARGIN_MS = 600;
/** A short timer that is this late shows a pause of the process. */
export const LONGEST_GAP_MS = 400;
/** Clocks that drift apart by more show a suspended host or a set clock. */
export const LARGEST_SHIFT_MS = 150;

/**
 * Decides whether a holder may order without asking the store. A paused process or a clock that
 * moved leaves the lease unknown, as the store may have given it to another host meanwhile.
 */
export function isHolderSure(lease: HeldLease, nowMs: number, wallMs: number): boolean {
  const elapsedMs = nowMs - lease.renewedAtMs;
  if (elapsedMs > lease.ttlMs - LEASE_MARGIN_MS) return false;
  if (nowMs - lease.lastTickMs > LONGEST_GAP_MS) return false;
  return Math.abs(wallMs - lease.renewedAtWallMs - elapsedMs) <= LARGEST_SHIFT_MS;
}
