/** Milliseconds per second. */
export const MILLISECONDS_PER_SECOND = 1000;

/** Number of slots into which the rate and burst of every organisation are split. */
export const SLOT_COUNT = 64;

/**
 * Bucket units per token. With this factor the refill of a single slot is a whole number of units
 * per millisecond.
 */
export const UNITS_PER_TOKEN = SLOT_COUNT * MILLISECONDS_PER_SECOND;

/** Maximum time in milliseconds from charging a loan to the lender to spending it. */
export const LOAN_DEADLINE_MS = 50;

/** Largest rate or burst in tokens; up to it the units of a bucket are exact integers. */
export const MAX_RATE_TOKENS_PER_SECOND = 100_000_000;

/** Maximum number of events that a bucket keeps for exact settlement. */
export const MAX_BUCKET_EVENTS = 4096;
