import { replayEvents } from '../_lib/replayEvents.js';
import { MAX_BUCKET_EVENTS } from '../constants/index.js';
import type { Bucket } from '../types.js';

/**
 * Replaces an open charge by its true figure, as if that had been charged from the start.
 * An id that is unknown or already settled changes nothing, so a doubled message is harmless.
 */
export function settleCharge(bucket: Bucket, id: string, units: number): Bucket {
  const index = bucket.events.findIndex(({ pendingChargeId }) => pendingChargeId === id);
  const event = bucket.events[index];
  if (event === undefined) return bucket;
  const settled = { ...event, units, pendingChargeId: undefined };
  return replayEvents(bucket.base, bucket.events.with(index, settled), MAX_BUCKET_EVENTS);
}
