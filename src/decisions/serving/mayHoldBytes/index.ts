/** Bytes of incomplete events that a host holds. */
export interface HeldUse {
  /** Bytes that one response would hold. */
  bytes: number;
  /** Bytes that the other responses hold above `SMALL_HELD_BYTES` each. */
  otherLargeBytes: number;
}

/** Longest that a response may hold for its next event. */
export const MAX_EVENT_BYTES = 1_048_576; // far above the few tokens of an event
/** What each response may hold however much the others do. */
export const SMALL_HELD_BYTES = 16_384;
/** What all responses may hold above `SMALL_HELD_BYTES` each. */
export const MAX_LARGE_BYTES = 16_777_216;

/**
 * Decides whether a response may hold bytes until its next event is complete. Addresses servers that send events without
 * end to many requests at once: each response would hold the longest event, which is more than a host has. Events of
 * usual size go on beside them.
 */
export function mayHoldBytes({ bytes, otherLargeBytes }: HeldUse): boolean {
  if (bytes <= SMALL_HELD_BYTES) return true;
  return bytes <= MAX_EVENT_BYTES && otherLargeBytes + bytes - SMALL_HELD_BYTES <= MAX_LARGE_BYTES;
}
