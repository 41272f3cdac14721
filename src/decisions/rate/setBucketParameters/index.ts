import { computeLevel } from '../computeLevel/index.js';
import { addBucketEvent } from '../chargeBucket/index.js';
import type { Bucket, BucketParameters } from '../types.js';

/** Options of a change of shape. */
export interface SetBucketParametersOptions {
  /** Units that come with the added slots; none by default. */
  addedUnits?: number;
}

/** A bucket after its slots were given up, and the units that go with them. */
export interface ReleasedSlots {
  bucket: Bucket;
  /** Whole units, never below zero. */
  units: number;
}

/** Gives a bucket another rate, burst or number of slots from this moment on. */
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

/** Takes slots out of a bucket together with their part of its level. */
export function releaseBucketSlots(bucket: Bucket, slots: number, nowMs: number): ReleasedSlots {
  const { parameters } = bucket.current;
  const released = Math.min(slots, parameters.slots);
  if (released === 0) return { bucket, units: 0 };
  const level = Math.max(0, computeLevel(bucket, nowMs));
  const units = Math.floor((level * released) / parameters.slots);
  const smaller = { ...parameters, slots: parameters.slots - released };
  return { bucket: setBucketParameters(bucket, smaller, nowMs, { addedUnits: -units }), units };
}
