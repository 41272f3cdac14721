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
 * Adds claims to a partition. The first claim of a hash is granted; while it exists, claims with
 * other ids get the outcome `held`. The same claim id is granted again, so that a writer whose
 * reply was lost can retry.
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
