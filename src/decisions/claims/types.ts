/** Where a claimed request stands. */
export const ClaimState = { running: 'running', done: 'done', unknown: 'unknown' } as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** An answer kept for repeats of its request. */
export interface StoredResponse {
  status: number;
  contentType: string;
  /** Body in base64. */
  body: string;
}

/** A claim of one keyed request. */
export interface Claim {
  state: ClaimState;
  /** Digest of the request; a repeat with another body is refused. */
  requestDigest: string;
  /** Unique to one attempt to claim, so that its writer knows it again. */
  claimId: string;
  /** Milliseconds since the Unix epoch. */
  claimedAtMs: number;
  /** Left out when the answer was too large to keep. */
  answer?: StoredResponse;
}

/** The claims of one partition by the hash of organisation, route and key. */
export type ClaimPartition = Readonly<Record<string, Claim>>;

/** A claim that a host wants to write. */
export interface ClaimRequest {
  hash: string;
  requestDigest: string;
  claimId: string;
}

/** How a claimed request ended. */
export interface FinishedClaim {
  hash: string;
  claimId: string;
  state: typeof ClaimState.done | typeof ClaimState.unknown;
  answer?: StoredResponse;
}

/** What became of a claim. */
export type ClaimOutcome = { kind: 'claimed' } | { kind: 'held'; claim: Claim } | { kind: 'full' };

/** A partition after claims were added. */
export interface AddClaimsResult {
  partition: ClaimPartition;
  /** Outcomes by claim id. */
  outcomes: ReadonlyMap<string, ClaimOutcome>;
}
