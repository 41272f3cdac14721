import type { Bucket, BucketState, BucketParameters } from '../types.js';

/** Options of a new bucket. */
export interface CreateBucketOptions {
  /** Units that it starts with; none by default. */
  level?: number;
}

/** Creates a bucket that holds no units unless told otherwise. */
export function createBucket(
  parameters: BucketParameters,
  nowMs: number,
  options: CreateBucketOptions = {},
): Bucket {
  const { level = 0 } = options;
  const point: BucketState = { level, atMs: Math.floor(nowMs), parameters };
  return { base: point, events: [], current: point };
}
