const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Bytes of a stream before a chunk that may belong to the end of an event: a line feed and a carriage return. */
export const MAX_PREVIOUS_BYTES = 2;

/**
 * Finds the offset after the last blank line of a chunk, which ends an event; 0 if there is none. `previous` are the
 * last bytes of the stream before the chunk. Each byte of the chunk is looked at once.
 */
export function findEventsEnd(chunk: Buffer, previous: Buffer): number {
  const byteAt = (index: number): number | undefined =>
    index < 0 ? previous[previous.length + index] : chunk[index];
  for (let index = chunk.length - 1; index >= 0; index -= 1) {
    if (chunk[index] !== LINE_FEED) continue;
    const before = byteAt(index - 1);
    if (before === LINE_FEED) return index + 1;
    if (before === CARRIAGE_RETURN && byteAt(index - 2) === LINE_FEED) return index + 1;
  }
  return 0;
}
