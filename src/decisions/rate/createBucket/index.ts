import type { Bucket, BucketState, BucketParameters } from '../types.js';

/** Options of createBucket. */
export interface CreateBucketOptions {
  /** Initial level in units; 0 by default. */
  level?: number;
}

/** Creates a token bucket, empty by default. */
export function createBucket(
  parameters: BucketParameters,
  nowMs: number,
  options: CreateBucketOptions = {},
): Bucket {
  const { level = 0 } = options;
  const state: BucketState = { level, atMs: Math.floor(nowMs), parameters };
  return { base: state, events: [], current: state };
}
