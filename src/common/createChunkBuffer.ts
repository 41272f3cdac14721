const MIN_SEGMENT_BYTES = 4096;
const MAX_SEGMENT_BYTES = 65_536;
const EMPTY = Buffer.alloc(0);

/** Collects the chunks of a body, or of a part of one. */
export interface ChunkBuffer {
  add: (chunk: Buffer) => void;
  /** Returns the whole body and drops the chunks; a body of one chunk is not copied. */
  finish: () => Buffer;
  /** Drops the chunks. */
  drop: () => void;
}

/**
 * Creates a buffer for a body. A body of known length is copied into one buffer as it arrives. Otherwise
 * small chunks are copied into segments, because a buffer for each chunk takes a hundred times the memory
 * of a body in chunks of one byte.
 */
export function createChunkBuffer(announcedBytes: number | undefined): ChunkBuffer {
  let first: Buffer | undefined;
  let whole: Buffer | undefined;
  let length = 0;
  let parts: Buffer[] = [];
  let segment = EMPTY;
  let filled = 0;
  let segmentBytes = MIN_SEGMENT_BYTES;

  const endPart = (): void => {
    if (filled === 0) return;
    parts.push(segment.subarray(0, filled));
    segment = segment.subarray(filled);
    filled = 0;
  };
  const addToSegments = (chunk: Buffer): void => {
    if (chunk.length >= MIN_SEGMENT_BYTES) {
      endPart();
      parts.push(chunk);
      return;
    }
    if (segment.length - filled < chunk.length) {
      endPart();
      segment = Buffer.allocUnsafeSlow(segmentBytes);
      segmentBytes = Math.min(2 * segmentBytes, MAX_SEGMENT_BYTES);
    }
    filled += chunk.copy(segment, filled);
  };
  const addNext = (chunk: Buffer): void => {
    if (whole === undefined) addToSegments(chunk);
    else chunk.copy(whole, length);
  };
  const joinChunks = (): Buffer => {
    if (first !== undefined) return first;
    if (whole !== undefined) return whole;
    endPart();
    return parts.length === 1 && parts[0] !== undefined ? parts[0] : Buffer.concat(parts, length);
  };
  const drop = (): void => {
    first = undefined;
    whole = undefined;
    parts = [];
    segment = EMPTY;
    filled = 0;
  };
  return {
    add: (chunk) => {
      if (length === 0) first = chunk;
      else {
        if (first !== undefined) {
          if (announcedBytes !== undefined) whole = Buffer.allocUnsafeSlow(announcedBytes);
          if (whole === undefined) addToSegments(first);
          else first.copy(whole);
          first = undefined;
        }
        addNext(chunk);
      }
      length += chunk.length;
    },
    finish: () => {
      const body = joinChunks();
      drop();
      return body;
    },
    drop,
  };
}
