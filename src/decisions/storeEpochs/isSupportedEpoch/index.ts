import { MAX_EPOCH } from '../_lib/constants.js';

/** Tells whether `encodeRevision` takes an epoch; a larger one is no number of restores. */
export function isSupportedEpoch(epoch: number): boolean {
  return Number.isInteger(epoch) && epoch >= 0 && epoch <= MAX_EPOCH;
}
