import { applyEvent, replayEvents } from '../_lib/replayEvents.js';
import { MAX_BUCKET_EVENTS } from '../constants/index.js';
import type { Bucket, BucketEvent } from '../types.js';

/**
 * Adds an event to a bucket. Events in excess of MAX_BUCKET_EVENTS are merged into its base, the
 * oldest first; their charges can no longer be settled.
 */
export function addBucketEvent(bucket: Bucket, event: BucketEvent): Bucket {
  const current = applyEvent(bucket.current, event);
  if (bucket.events.length === 0 && event.pendingChargeId === undefined)
    return { base: current, events: [], current };
  const events = [...bucket.events, event];
  if (events.length > MAX_BUCKET_EVENTS)
    return replayEvents(bucket.base, events, MAX_BUCKET_EVENTS);
  return { base: bucket.base, events, current };
}

/** Charges units to a bucket under an id for the later settlement; does not check the level. */
export function chargeBucket(bucket: Bucket, id: string, units: number, nowMs: number): Bucket {
  const atMs = Math.max(bucket.current.atMs, Math.floor(nowMs));
  return addBucketEvent(bucket, { atMs, units, pendingChargeId: id });
}
