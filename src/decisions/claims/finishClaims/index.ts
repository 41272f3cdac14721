import { MAX_STORED_RESPONSE_BYTES } from '../constants/index.js';
import type { Claim, ClaimPartition, FinishedClaim, StoredResponse } from '../types.js';

const BASE64_CHARACTERS_PER_BYTE = 4 / 3;

function isStorable(response: StoredResponse): boolean {
  return response.body.length <= MAX_STORED_RESPONSE_BYTES * BASE64_CHARACTERS_PER_BYTE;
}

/**
 * Records the results of claimed requests; claims with another claim id stay unchanged. A response
 * above MAX_STORED_RESPONSE_BYTES is left out.
 */
export function finishClaims(
  partition: ClaimPartition,
  finished: readonly FinishedClaim[],
): ClaimPartition {
  const next: Record<string, Claim> = { ...partition };
  for (const { hash, claimId, state, answer } of finished) {
    const existing = next[hash];
    if (existing?.claimId !== claimId) continue;
    const storedResponse = answer !== undefined && isStorable(answer) ? { answer } : {};
    next[hash] = { ...existing, state, ...storedResponse };
  }
  return next;
}

/** Removes the claims of requests that did not run, so that a retry may run. */
export function releaseClaims(
  partition: ClaimPartition,
  claimIds: ReadonlySet<string>,
): ClaimPartition {
  return Object.fromEntries(
    Object.entries(partition).filter(([, { claimId }]) => !claimIds.has(claimId)),
  );
}
