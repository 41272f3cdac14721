import { CLAIM_RETENTION_MS } from '../constants/index.js';
import type { ClaimPartition } from '../types.js';

/** Drops claims that are older than the retention period. */
export function dropExpiredClaims(partition: ClaimPartition, nowMs: number): ClaimPartition {
  return Object.fromEntries(
    Object.entries(partition).filter(
      ([, { claimedAtMs }]) => nowMs - claimedAtMs < CLAIM_RETENTION_MS,
    ),
  );
}
