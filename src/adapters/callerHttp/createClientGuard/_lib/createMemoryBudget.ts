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
  /** Sets the bytes of answers that wait for their readers. */
  setAnswerBytes: (bytes: number) => void;
  isExhausted: () => boolean;
}

/** Creates a memory budget. */
export function createMemoryBudget(limitBytes: number): MemoryBudget {
  let reservedBytes = 0;
  let largeBytes = 0;
  let answerBytes = 0;
  return {
    reserve: (reservation, bytes, purpose) => {
      const use = { limitBytes, usedBytes: reservedBytes + answerBytes, largeBytes };
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
    isExhausted: () => reservedBytes + answerBytes > limitBytes,
  };
}
