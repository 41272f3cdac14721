import { REVISIONS_PER_EPOCH } from '../_lib/constants.js';

/** Decodes what `encodeRevision` returned. */
export function decodeRevision(encoded: number): { epoch: number; revision: number } {
  return {
    epoch: Math.floor(encoded / REVISIONS_PER_EPOCH),
    revision: encoded % REVISIONS_PER_EPOCH,
  };
}
