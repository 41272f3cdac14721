import { MAX_STORED_RESPONSE_BYTES } from '../constants/index.js';
import type { Claim, ClaimPartition, FinishedClaim, StoredResponse } from '../types.js';

const BASE64_RATIO = 4 / 3;

function isStorable(answer: StoredResponse): boolean {
  return answer.body.length <= MAX_STORED_RESPONSE_BYTES * BASE64_RATIO;
}

/** Records how claimed requests ended; claims that another attempt holds stay as they are. */
export function finishClaims(
  partition: ClaimPartition,
  finished: readonly FinishedClaim[],
): ClaimPartition {
  const next: Record<string, Claim> = { ...partition };
  for (const { hash, claimId, state, answer } of finished) {
    const held = next[hash];
    if (held?.claimId !== claimId) continue;
    const kept = answer !== undefined && isStorable(answer) ? { answer } : {};
    next[hash] = { ...held, state, ...kept };
  }
  return next;
}

/** Removes claims of requests that did not run, so that a repeat may run. */
export function releaseClaims(
  partition: ClaimPartition,
  claimIds: ReadonlySet<string>,
): ClaimPartition {
  return Object.fromEntries(
    Object.entries(partition).filter(([, { claimId }]) => !claimIds.has(claimId)),
  );
}
