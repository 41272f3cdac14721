/** Rate and burst of an organisation, and the number of slots (shares of both) that a bucket holds. */
export interface BucketParameters {
  /** Tokens per second over all slots. */
  rate: number;
  /** Capacity in tokens over all slots, already reduced by the tokens that loans in flight may hold. */
  burst: number;
  /** Number of slots held, 0 to SLOT_COUNT. */
  slots: number;
}

/** Level and parameters of a bucket at a point in time. */
export interface BucketState {
  /** Units in the bucket; negative after a settlement above the charge. */
  level: number;
  atMs: number;
  parameters: BucketParameters;
}

/** A charge, or a change of parameters that may also add or remove units. */
export interface BucketEvent {
  atMs: number;
  /** Units taken; negative when units are added together with slots. */
  units: number;
  /** Id of the charge while it is not settled. */
  pendingChargeId?: string;
  /** Parameters in force from this event on. */
  parameters?: BucketParameters;
}

/**
 * Token bucket. It keeps the events since the oldest charge that is not settled, so that settling
 * gives the same level as an exact charge would have given.
 */
export interface Bucket {
  /** State before the first kept event. */
  base: BucketState;
  events: readonly BucketEvent[];
  /** State after the last event. */
  current: BucketState;
}

/** Estimated level of the bucket of a peer that may grant a loan. */
export interface LenderLevel {
  host: string;
  units: number;
}

/** A loan to request from a peer. */
export interface PlannedLoan {
  host: string;
  units: number;
}
