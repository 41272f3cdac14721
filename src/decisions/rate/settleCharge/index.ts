import { replayEvents } from '../_lib/replayEvents.js';
import { MAX_BUCKET_EVENTS } from '../constants/index.js';
import type { Bucket } from '../types.js';

/**
 * Settles a charge: replaces its units by those really used, as if these had been charged at first.
 * An unknown or already settled id changes nothing, so that a duplicate message has no effect.
 */
export function settleCharge(bucket: Bucket, id: string, units: number): Bucket {
  const index = bucket.events.findIndex(({ pendingChargeId }) => pendingChargeId === id);
  const event = bucket.events[index];
  if (event === undefined) return bucket;
  const settled = { ...event, units, pendingChargeId: undefined };
  return replayEvents(bucket.base, bucket.events.with(index, settled), MAX_BUCKET_EVENTS);
}
