import { hashText } from '../../bundle/hashText/index.js';
import { CLAIM_PARTITIONS } from '../constants/index.js';

const HASH_DIGITS = 40;
const PARTITION_DIGITS = 8;
const HEXADECIMAL = 16;

/** Hashes organisation, route and idempotency key to the name of a claim. */
export function hashClaim(organisation: string, route: string, idempotencyKey: string): string {
  return hashText(JSON.stringify([organisation, route, idempotencyKey])).slice(0, HASH_DIGITS);
}

/** Computes the partition of a claim from its hash. */
export function computePartition(hash: string): number {
  return parseInt(hash.slice(0, PARTITION_DIGITS), HEXADECIMAL) % CLAIM_PARTITIONS;
}
