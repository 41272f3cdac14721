/** Milliseconds in a second. */
export const MILLISECONDS_PER_SECOND = 1000;

/** Slots into which the rate and burst of every organisation are split. */
export const SLOT_COUNT = 64;

/** Bucket units in a token: rates of single slots stay whole numbers of units a millisecond. */
export const UNITS_PER_TOKEN = SLOT_COUNT * MILLISECONDS_PER_SECOND;

/** Longest time in milliseconds from a lender's charge to the spending of a loan. */
export const LOAN_DEADLINE_MS = 50;

/** Largest rate or burst in tokens; units of a bucket stay exact integers up to here. */
export const MAX_RATE_TOKENS_PER_SECOND = 100_000_000;

/** Most events that a bucket keeps for exact settling. */
export const MAX_BUCKET_EVENTS = 4096;
