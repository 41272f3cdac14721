import { hashText } from '../../bundle/hashText/index.js';
import { CLAIM_PARTITIONS } from '../constants/index.js';

const HASH_DIGITS = 40;
const PARTITION_DIGITS = 8;
const HEXADECIMAL_RADIX = 16;

/** Computes the hash that identifies a claim from organisation, route and idempotency key. */
export function hashClaim(organisation: string, route: string, idempotencyKey: string): string {
  return hashText(JSON.stringify([organisation, route, idempotencyKey])).slice(0, HASH_DIGITS);
}

/** Computes the partition of a claim from its hash, from 0 to CLAIM_PARTITIONS - 1. */
export function computePartition(hash: string): number {
  return parseInt(hash.slice(0, PARTITION_DIGITS), HEXADECIMAL_RADIX) % CLAIM_PARTITIONS;
}
