import { refillState } from '../_lib/replayEvents.js';
import type { Bucket } from '../types.js';

/** Computes the level of a bucket in units at a time in milliseconds. */
export function computeLevel(bucket: Bucket, nowMs: number): number {
  return refillState(bucket.current, nowMs).level;
}
