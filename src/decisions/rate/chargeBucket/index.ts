import { applyEvent, replayEvents } from '../_lib/replayEvents.js';
import { MAX_BUCKET_EVENTS } from '../constants/index.js';
import type { Bucket, BucketEvent } from '../types.js';

/** Adds an event and keeps at most MAX_BUCKET_EVENTS of them. */
export function addBucketEvent(bucket: Bucket, event: BucketEvent): Bucket {
  const current = applyEvent(bucket.current, event);
  if (bucket.events.length === 0 && event.pendingChargeId === undefined)
    return { base: current, events: [], current };
  const events = [...bucket.events, event];
  if (events.length > MAX_BUCKET_EVENTS)
    return replayEvents(bucket.base, events, MAX_BUCKET_EVENTS);
  return { base: bucket.base, events, current };
}

/** Takes units from a bucket under an id by which they can be settled; the level is not checked. */
export function chargeBucket(bucket: Bucket, id: string, units: number, nowMs: number): Bucket {
  const atMs = Math.max(bucket.current.atMs, Math.floor(nowMs));
  return addBucketEvent(bucket, { atMs, units, pendingChargeId: id });
}
