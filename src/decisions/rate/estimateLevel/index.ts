import { computeCapacity } from '../_lib/replayEvents.js';
import type { BucketParameters } from '../types.js';

/** Level of a peer's bucket as it was last heard of. */
export interface ReportedLevel {
  units: number;
  atMs: number;
}

/** Estimates a peer's level now: what it said last and what has been refilled since. */
export function estimateLevel(
  { units, atMs }: ReportedLevel,
  shape: BucketParameters,
  nowMs: number,
): number {
  const refilled = units + shape.rate * shape.slots * (nowMs - atMs);
  return Math.floor(Math.min(computeCapacity(shape), refilled));
}
