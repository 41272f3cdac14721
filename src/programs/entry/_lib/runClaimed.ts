import { randomUUID } from 'node:crypto';
import { ClaimState, type Claim, type StoredResponse } from '../../../decisions/claims/types.js';
import { hashClaim } from '../../../decisions/claims/hashClaim/index.js';
import { createRequestError, ExecutionOutcome, RequestError } from '../../../errors/index.js';
import type { ClaimStore } from '../../../coordination/createClaimStore/index.js';
import { createRefusal } from './refusals.js';

/** A keyed request that is to run at most once. */
export interface ClaimedRun {
  claims: ClaimStore;
  organisation: string;
  /** Method and path. */
  route: string;
  idempotencyKey: string;
  /** Digest of what the request says. */
  requestDigest: string;
  /** Runs the request; its failure says by its outcome whether it can have run. */
  run: () => Promise<StoredResponse>;
}

/** An answer, and whether it is the kept answer of an earlier run. */
export interface ClaimedResponse {
  answer: StoredResponse;
  isReplayed: boolean;
}

function readHeldClaim(claim: Claim, requestDigest: string): StoredResponse {
  if (claim.requestDigest !== requestDigest)
    throw createRefusal(
      422,
      'idempotency_key_reused',
      'the Idempotency-Key belongs to another request',
    );
  if (claim.answer !== undefined) return claim.answer;
  if (claim.state === ClaimState.done)
    throw createRequestError('the request has run; its answer was too large to keep', {
      status: 409,
      code: 'answer_not_kept',
      outcome: ExecutionOutcome.run,
    });
  throw createRequestError('the request is running, or its end is unknown', {
    status: 409,
    code: 'request_in_progress',
    outcome: ExecutionOutcome.unknown,
    retryAfterSeconds: 1,
  });
}

async function takeClaim(
  { claims, requestDigest }: ClaimedRun,
  hash: string,
  claimId: string,
): Promise<StoredResponse | undefined> {
  const outcome = await claims.claim({ hash, requestDigest, claimId }).catch(() => {
    // The claim may stand although its answer was lost; it must not block the caller's repeat.
    void claims.release(hash, claimId);
    throw createRefusal(503, 'claim_unavailable', 'the request could not be claimed', 1);
  });
  if (outcome.kind === 'held') return readHeldClaim(outcome.claim, requestDigest);
  if (outcome.kind === 'full')
    throw createRefusal(503, 'claims_full', 'too many claims are open', 1);
  return undefined;
}

/** Runs a keyed request unless it has run before: then the kept answer is given again. */
export async function runClaimed(options: ClaimedRun): Promise<ClaimedResponse> {
  const { claims, organisation, route, idempotencyKey } = options;
  const hash = hashClaim(organisation, route, idempotencyKey);
  const claimId = randomUUID();
  const kept = await takeClaim(options, hash, claimId);
  if (kept !== undefined) return { answer: kept, isReplayed: true };
  try {
    const answer = await options.run();
    void claims.finish({ hash, claimId, state: ClaimState.done, answer });
    return { answer, isReplayed: false };
  } catch (error) {
    const isNotRun =
      error instanceof RequestError && error.failure.outcome === ExecutionOutcome.notRun;
    if (isNotRun) void claims.release(hash, claimId);
    else void claims.finish({ hash, claimId, state: ClaimState.unknown });
    throw error;
  }
}
