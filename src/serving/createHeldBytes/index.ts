import { mayHoldBytes, SMALL_HELD_BYTES } from '../../decisions/serving/mayHoldBytes/index.js';

/** What one response holds until its next event is complete. */
export interface HeldShare {
  /** Sets the bytes that it holds; returns false if it may not hold them, and has to end. */
  set: (bytes: number) => boolean;
  release: () => void;
}

/** Bytes of incomplete events that all responses of a host hold. */
export interface HeldBytes {
  open: () => HeldShare;
}

/** Creates the count of a host whose responses hold nothing. */
export function createHeldBytes(): HeldBytes {
  let largeBytes = 0;
  return {
    open: () => {
      let ownLargeBytes = 0;
      const setLarge = (bytes: number): void => {
        largeBytes += bytes - ownLargeBytes;
        ownLargeBytes = bytes;
      };
      return {
        set: (bytes) => {
          if (!mayHoldBytes({ bytes, otherLargeBytes: largeBytes - ownLargeBytes })) return false;
          setLarge(Math.max(0, bytes - SMALL_HELD_BYTES));
          return true;
        },
        release: () => setLarge(0),
      };
    },
  };
}
