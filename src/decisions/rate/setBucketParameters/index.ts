import { computeLevel } from '../computeLevel/index.js';
import { addBucketEvent } from '../chargeBucket/index.js';
import type { Bucket, BucketParameters } from '../types.js';

/** Options of setBucketParameters. */
export interface SetBucketParametersOptions {
  /** Units that are added together with slots, negative to remove some; 0 by default. */
  addedUnits?: number;
}

/** A bucket after the release of slots, and the units released with them. */
export interface ReleasedSlots {
  bucket: Bucket;
  /** Whole units, never below zero. */
  units: number;
}

/**
 * Replaces all parameters of a bucket from `nowMs` on, and may add units that come with new slots.
 * Units in excess of the new capacity are lost.
 */
export function setBucketParameters(
  bucket: Bucket,
  parameters: BucketParameters,
  nowMs: number,
  options: SetBucketParametersOptions = {},
): Bucket {
  const { addedUnits = 0 } = options;
  const atMs = Math.max(bucket.current.atMs, Math.floor(nowMs));
  return addBucketEvent(bucket, { atMs, units: -addedUnits, parameters });
}

/** Releases slots of a bucket together with their share of its level. */
export function releaseBucketSlots(bucket: Bucket, slots: number, nowMs: number): ReleasedSlots {
  const { parameters } = bucket.current;
  const releasedSlots = Math.min(slots, parameters.slots);
  if (releasedSlots === 0) return { bucket, units: 0 };
  const level = Math.max(0, computeLevel(bucket, nowMs));
  const units = Math.floor((level * releasedSlots) / parameters.slots);
  const remaining = { ...parameters, slots: parameters.slots - releasedSlots };
  return { bucket: setBucketParameters(bucket, remaining, nowMs, { addedUnits: -units }), units };
}
