import { computeCapacity } from '../_lib/replayEvents.js';
import type { BucketShape } from '../types.js';

/** Level of a peer's bucket as it was last heard of. */
export interface KnownLevel {
  units: number;
  atMs: number;
}

/** Estimates a peer's level now: what it said last and what has been refilled since. */
export function estimateLevel(
  { units, atMs }: KnownLevel,
  shape: BucketShape,
  nowMs: number,
): number {
  const refilled = units + shape.rate * shape.slots * (nowMs - atMs);
  return Math.floor(Math.min(computeCapacity(shape), refilled));
}
