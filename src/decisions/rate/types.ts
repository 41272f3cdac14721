/** Rate and burst of an organisation and how many slots of them a bucket holds. */
export interface BucketParameters {
  /** Tokens a second over all slots. */
  rate: number;
  /** Tokens at once over all slots, already lowered for tokens in flight. */
  burst: number;
  /** Slots held, 0 to SLOT_COUNT. */
  slots: number;
}

/** Level of a bucket at a moment. */
export interface BucketState {
  /** Units in the bucket; below zero after a settlement above the charge. */
  level: number;
  atMs: number;
  parameters: BucketParameters;
}

/** A charge, or a change of shape that may also add or remove units. */
export interface BucketEvent {
  atMs: number;
  /** Units taken; negative when units come in with slots. */
  units: number;
  /** Set while the charge can still be settled. */
  pendingChargeId?: string;
  /** Shape from this moment on. */
  parameters?: BucketParameters;
}

/** Token bucket with the events since its oldest open charge, so that settling is exact. */
export interface Bucket {
  base: BucketState;
  events: readonly BucketEvent[];
  current: BucketState;
}

/** What a peer is known to have. */
export interface LenderLevel {
  host: string;
  units: number;
}

/** How much to ask of a peer. */
export interface PlannedLoan {
  host: string;
  units: number;
}
