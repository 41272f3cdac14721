import { computeLevel } from '../computeLevel/index.js';
import { addBucketEvent } from '../chargeBucket/index.js';
import type { Bucket, BucketShape } from '../types.js';

/** Options of a change of shape. */
export interface SetBucketShapeOptions {
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
export function setBucketShape(
  bucket: Bucket,
  shape: BucketShape,
  nowMs: number,
  options: SetBucketShapeOptions = {},
): Bucket {
  const { addedUnits = 0 } = options;
  const atMs = Math.max(bucket.current.atMs, Math.floor(nowMs));
  return addBucketEvent(bucket, { atMs, units: -addedUnits, shape });
}

/** Takes slots out of a bucket together with their part of its level. */
export function releaseBucketSlots(bucket: Bucket, slots: number, nowMs: number): ReleasedSlots {
  const { shape } = bucket.current;
  const released = Math.min(slots, shape.slots);
  if (released === 0) return { bucket, units: 0 };
  const level = Math.max(0, computeLevel(bucket, nowMs));
  const units = Math.floor((level * released) / shape.slots);
  const smaller = { ...shape, slots: shape.slots - released };
  return { bucket: setBucketShape(bucket, smaller, nowMs, { addedUnits: -units }), units };
}
