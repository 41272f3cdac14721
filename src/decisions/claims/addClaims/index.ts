import { MAX_CLAIMS_PER_PARTITION, MAX_PARTITION_CHARACTERS } from '../constants/index.js';
import { dropExpiredClaims } from '../dropExpiredClaims/index.js';
import {
  ClaimState,
  type AddClaimsResult,
  type Claim,
  type ClaimOutcome,
  type ClaimPartition,
  type ClaimRequest,
} from '../types.js';

function isFull(partition: Record<string, Claim>, characters: number): boolean {
  const count = Object.keys(partition).length;
  return count >= MAX_CLAIMS_PER_PARTITION || characters > MAX_PARTITION_CHARACTERS;
}

/**
 * Drops the expired claims of a partition, then adds the requested ones. Outcomes: `claimed` for
 * the first claim of a hash, and again for the same claim id, so that a writer whose reply was
 * lost can retry; `held` for other ids while that claim exists; `full` when a new claim would
 * exceed MAX_CLAIMS_PER_PARTITION or the partition is above MAX_PARTITION_CHARACTERS.
 */
export function addClaims(
  partition: ClaimPartition,
  requests: readonly ClaimRequest[],
  nowMs: number,
): AddClaimsResult {
  const next: Record<string, Claim> = { ...dropExpiredClaims(partition, nowMs) };
  const characters = JSON.stringify(next).length;
  const outcomes = new Map<string, ClaimOutcome>();
  for (const { hash, requestDigest, claimId } of requests) {
    const existing = next[hash];
    if (existing !== undefined) {
      const isOwn = existing.claimId === claimId;
      outcomes.set(claimId, isOwn ? { kind: 'claimed' } : { kind: 'held', claim: existing });
    } else if (isFull(next, characters)) {
      outcomes.set(claimId, { kind: 'full' });
    } else {
      next[hash] = { state: ClaimState.running, requestDigest, claimId, claimedAtMs: nowMs };
      outcomes.set(claimId, { kind: 'claimed' });
    }
  }
  return { partition: next, outcomes };
}
