/** Partitions of the claims, each one value of the key-value service. */
export const CLAIM_PARTITIONS = 32;

/** Time in milliseconds for which a claim and its answer are kept. */
export const CLAIM_RETENTION_MS = 3_600_000;

/** Most claims that one partition holds. */
export const MAX_CLAIMS_PER_PARTITION = 2000;

/** Largest answer body in bytes that is kept with a claim. */
export const MAX_STORED_RESPONSE_BYTES = 4096;

/** Largest partition in characters of JSON; claims above are refused. */
export const MAX_PARTITION_CHARACTERS = 700_000;
