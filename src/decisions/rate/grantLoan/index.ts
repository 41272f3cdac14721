import { chargeBucket } from '../chargeBucket/index.js';
import { computeLevel } from '../computeLevel/index.js';
import type { Bucket } from '../types.js';

/** A granted loan and the lender's bucket after it. */
export interface GrantedLoan {
  bucket: Bucket;
  /** Units granted: at most the requested ones, 0 when the bucket is empty. */
  units: number;
}

/** Grants a loan of up to the lender's level and charges it to the lender's bucket. */
export function grantLoan(
  bucket: Bucket,
  loanId: string,
  requestedUnits: number,
  nowMs: number,
): GrantedLoan {
  const units = Math.min(requestedUnits, Math.max(0, computeLevel(bucket, nowMs)));
  if (units <= 0) return { bucket, units: 0 };
  return { bucket: chargeBucket(bucket, loanId, units, nowMs), units };
}
