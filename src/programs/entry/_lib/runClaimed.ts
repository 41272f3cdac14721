import { randomUUID } from 'node:crypto';
import { ClaimState, type Claim, type StoredResponse } from '../../../decisions/claims/types.js';
import { hashClaim } from '../../../decisions/claims/hashClaim/index.js';
import { createRequestError, ExecutionOutcome, RequestError } from '../../../errors/index.js';
import type { ClaimStore } from '../../../coordination/createClaimStore/index.js';
import { createRefusal } from './refusals.js';

/** A request with an idempotency key, which runs at most once. */
export interface ClaimedRun {
  claims: ClaimStore;
  organisation: string;
  /** Method and path. */
  route: string;
  idempotencyKey: string;
  /** Digest of the request content. */
  requestDigest: string;
  /** Runs the request; the outcome of its failure says whether it may have run. */
  run: () => Promise<StoredResponse>;
}

/** Response of a claimed request, and whether it is the stored response of an earlier run. */
export interface ClaimedResponse {
  answer: StoredResponse;
  isReplayed: boolean;
}

function resolveHeldClaim(claim: Claim, requestDigest: string): StoredResponse {
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
    // The claim may have been written although the call failed; release it so that the caller can retry.
    void claims.release(hash, claimId);
    throw createRefusal(503, 'claim_unavailable', 'the request could not be claimed', 1);
  });
  if (outcome.kind === 'held') return resolveHeldClaim(outcome.claim, requestDigest);
  if (outcome.kind === 'full')
    throw createRefusal(503, 'claims_full', 'too many claims are open', 1);
  return undefined;
}

/** Runs a request with an idempotency key at most once; a retry gets the stored response of the earlier run. */
export async function runClaimed(options: ClaimedRun): Promise<ClaimedResponse> {
  const { claims, organisation, route, idempotencyKey } = options;
  const hash = hashClaim(organisation, route, idempotencyKey);
  const claimId = randomUUID();
  const storedResponse = await takeClaim(options, hash, claimId);
  if (storedResponse !== undefined) return { answer: storedResponse, isReplayed: true };
  try {
    const response = await options.run();
    void claims.finish({ hash, claimId, state: ClaimState.done, answer: response });
    return { answer: response, isReplayed: false };
  } catch (error) {
    const isNotRun =
      error instanceof RequestError && error.failure.outcome === ExecutionOutcome.notRun;
    if (isNotRun) void claims.release(hash, claimId);
    else void claims.finish({ hash, claimId, state: ClaimState.unknown });
    throw error;
  }
}
