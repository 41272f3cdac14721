/** State of a claimed request; unknown when it failed and may have been executed. */
export const ClaimState = { running: 'running', done: 'done', unknown: 'unknown' } as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** A response stored for retries of its request. */
export interface StoredResponse {
  status: number;
  contentType: string;
  /** Body in Base64. */
  body: string;
}

/** Record that a request with an idempotency key runs or has run. */
export interface Claim {
  state: ClaimState;
  /** Digest of the request; a retry with different content is refused. */
  requestDigest: string;
  /** Unique to one claim request, so that its writer recognises its own claim. */
  claimId: string;
  /** Milliseconds since the Unix epoch. */
  claimedAtMs: number;
  /** Set once the request is done, unless the response was too large to store. */
  answer?: StoredResponse;
}

/** Claims of one partition by the hash of organisation, route and idempotency key. */
export type ClaimPartition = Readonly<Record<string, Claim>>;

/** A request to add a claim under a hash (see hashClaim); other fields as in Claim. */
export interface ClaimRequest {
  hash: string;
  requestDigest: string;
  claimId: string;
}

/** Result of a claimed request. */
export interface FinishedClaim {
  hash: string;
  claimId: string;
  state: typeof ClaimState.done | typeof ClaimState.unknown;
  answer?: StoredResponse;
}

/** Outcome of a request to add a claim: granted, held by another claim, or partition full. */
export type ClaimOutcome = { kind: 'claimed' } | { kind: 'held'; claim: Claim } | { kind: 'full' };

/** The partition to write after addClaims, and what each claim request got. */
export interface AddClaimsResult {
  partition: ClaimPartition;
  /** Outcomes by claim id. */
  outcomes: ReadonlyMap<string, ClaimOutcome>;
}
