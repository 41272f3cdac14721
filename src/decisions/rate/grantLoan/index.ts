import { chargeBucket } from '../chargeBucket/index.js';
import { computeLevel } from '../computeLevel/index.js';
import type { Bucket } from '../types.js';

/** A lender's bucket after a loan. */
export interface GrantedLoan {
  bucket: Bucket;
  /** Units granted: at most what was asked for, 0 when the bucket is empty. */
  units: number;
}

/** Charges a loan to the lender's bucket, as far as the level goes. */
export function grantLoan(
  bucket: Bucket,
  loanId: string,
  askedUnits: number,
  nowMs: number,
): GrantedLoan {
  const units = Math.min(askedUnits, Math.max(0, computeLevel(bucket, nowMs)));
  if (units <= 0) return { bucket, units: 0 };
  return { bucket: chargeBucket(bucket, loanId, units, nowMs), units };
}
