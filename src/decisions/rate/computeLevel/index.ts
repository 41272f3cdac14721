import { refillState } from '../_lib/replayEvents.js';
import type { Bucket } from '../types.js';

/** Computes the units in a bucket at a moment in milliseconds. */
export function computeLevel(bucket: Bucket, nowMs: number): number {
  return refillState(bucket.current, nowMs).level;
}
