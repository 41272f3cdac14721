import { createChunkBuffer, type ChunkBuffer } from '../../common/createChunkBuffer.js';
import { findEventsEnd, MAX_PREVIOUS_BYTES } from '../../decisions/serving/findEventsEnd/index.js';

/** Splits the bytes of a server-sent event stream after its complete events. */
export interface EventSplitter {
  /** Adds the next bytes of the stream; returns the events that they complete, empty without any. */
  add: (chunk: Buffer) => Buffer;
  /** Bytes of the event that is not complete. */
  countIncomplete: () => number;
}

const EMPTY = Buffer.alloc(0);

/** Creates a splitter at the beginning of a stream. Its work grows with the bytes, not with the size of an event. */
export function createEventSplitter(): EventSplitter {
  let previous = EMPTY;
  let incomplete: ChunkBuffer | undefined;
  let incompleteBytes = 0;

  const addIncomplete = (chunk: Buffer): void => {
    if (chunk.length === 0) return;
    incomplete ??= createChunkBuffer(undefined);
    // A copy, as a part of a read would hold the memory of all of it.
    incomplete.add(Buffer.from(chunk));
    incompleteBytes += chunk.length;
  };
  const complete = (end: Buffer): Buffer => {
    if (incomplete === undefined) return end;
    incomplete.add(end);
    const events = incomplete.finish();
    incomplete = undefined;
    incompleteBytes = 0;
    return events;
  };
  return {
    add: (chunk) => {
      const end = findEventsEnd(chunk, previous);
      previous =
        chunk.length < MAX_PREVIOUS_BYTES
          ? Buffer.concat([previous, chunk]).subarray(-MAX_PREVIOUS_BYTES)
          : Buffer.from(chunk.subarray(-MAX_PREVIOUS_BYTES));
      const events = end === 0 ? EMPTY : complete(chunk.subarray(0, end));
      addIncomplete(chunk.subarray(end));
      return events;
    },
    countIncomplete: () => incompleteBytes,
  };
}
