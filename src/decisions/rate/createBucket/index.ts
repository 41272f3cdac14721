import type { Bucket, BucketPoint, BucketShape } from '../types.js';

/** Options of a new bucket. */
export interface CreateBucketOptions {
  /** Units that it starts with; none by default. */
  level?: number;
}

/** Creates a bucket that holds no units unless told otherwise. */
export function createBucket(
  shape: BucketShape,
  nowMs: number,
  options: CreateBucketOptions = {},
): Bucket {
  const { level = 0 } = options;
  const point: BucketPoint = { level, atMs: Math.floor(nowMs), shape };
  return { base: point, events: [], current: point };
}
