/** Number of partitions of the claims; each is one value in the key-value service. */
export const CLAIM_PARTITIONS = 32;

/** Time in milliseconds for which a claim and its response are kept. */
export const CLAIM_RETENTION_MS = 3_600_000;

/** Maximum number of claims in one partition. */
export const MAX_CLAIMS_PER_PARTITION = 2000;

/** Largest response body in bytes that is stored with a claim. */
export const MAX_STORED_RESPONSE_BYTES = 4096;

/** Size of a partition in characters of JSON above which new claims are refused. */
export const MAX_PARTITION_CHARACTERS = 700_000;
