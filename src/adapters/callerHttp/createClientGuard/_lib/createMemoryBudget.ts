import { mayReserve, MemoryPurpose } from '../../../../decisions/clientLimits/mayReserve/index.js';

/** Memory that a body or request holds of a budget. */
export interface Reservation {
  bytes: number;
  isLarge: boolean;
}

/** The one budget of memory for all clients. */
export interface MemoryBudget {
  /** Enlarges a reservation; returns false if the memory does not suffice. */
  reserve: (reservation: Reservation, bytes: number, purpose: MemoryPurpose) => boolean;
  /** Reduces a reservation to the given size. */
  release: (reservation: Reservation, remainingBytes: number) => void;
  /** Sets the bytes of answers that wait for their readers, without those that are reserved. */
  setAnswerBytes: (bytes: number) => void;
  /** Returns the bytes in use above the limit; negative below it. */
  getExcessBytes: () => number;
}

/** Creates a memory budget. */
export function createMemoryBudget(limitBytes: number): MemoryBudget {
  let reservedBytes = 0;
  let largeBytes = 0;
  let answerBytes = 0;
  return {
    reserve: (reservation, bytes, purpose) => {
      // A request does not compete with itself: its answer is admitted beside its own body.
      const ownLargeBytes = reservation.isLarge ? reservation.bytes : 0;
      const usedBytes = reservedBytes + answerBytes;
      const use = { limitBytes, usedBytes, largeBytes: largeBytes - ownLargeBytes };
      if (!mayReserve(use, bytes, purpose)) return false;
      reservedBytes += bytes;
      reservation.bytes += bytes;
      if (purpose === MemoryPurpose.large) {
        // A reservation that becomes large counts as such with all its bytes.
        largeBytes += reservation.isLarge ? bytes : reservation.bytes;
        reservation.isLarge = true;
      }
      return true;
    },
    release: (reservation, remainingBytes) => {
      const released = reservation.bytes - remainingBytes;
      reservedBytes -= released;
      if (reservation.isLarge) largeBytes -= released;
      reservation.bytes = remainingBytes;
    },
    setAnswerBytes: (bytes) => {
      answerBytes = bytes;
    },
    getExcessBytes: () => reservedBytes + answerBytes - limitBytes,
  };
}
