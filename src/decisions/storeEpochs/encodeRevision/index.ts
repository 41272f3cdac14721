import { MAX_EPOCH, REVISIONS_PER_EPOCH } from '../_lib/constants.js';

/**
 * Encodes a revision of the store with the epoch in which it counts. The result rises over revisions
 * and over epochs, so that no two writes share one, and a fencing token made of it never falls. Without
 * epochs (epoch 0) it is the revision itself. Throws a RangeError beyond 131,071 epochs or 68,719,476,735
 * revisions in one of them.
 */
export function encodeRevision(epoch: number, revision: number): number {
  if (epoch === 0) return revision;
  if (epoch > MAX_EPOCH) throw new RangeError(`store epoch ${epoch} is above ${MAX_EPOCH}`);
  if (revision >= REVISIONS_PER_EPOCH)
    throw new RangeError(`store revision ${revision} is above ${REVISIONS_PER_EPOCH - 1}`);
  return epoch * REVISIONS_PER_EPOCH + revision;
}
