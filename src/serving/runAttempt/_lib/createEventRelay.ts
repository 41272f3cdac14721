import { createChunkBuffer } from '../../../common/createChunkBuffer.js';
import { isOnlyComments } from '../../../decisions/serving/isOnlyComments/index.js';
import type { ResponseHead } from '../../../ports/serving.js';
import type { HeldShare } from '../../createHeldBytes/index.js';
import { createEventSplitter } from '../../createEventSplitter/index.js';

/** Options of an event relay. */
export interface EventRelayOptions {
  sendHead: (head: ResponseHead) => void;
  /** Returns false when writing should pause. */
  write: (bytes: Buffer) => boolean;
  held: HeldShare;
  /** Called with complete events that are more than comments, before they are sent. */
  onProgress: (events: Buffer) => void;
}

/** Relays a stream by complete events; what is sent before an error ends with an event. */
export interface EventRelay {
  /** Holds back the head until the first event, as a response without any can still be replaced. */
  setHead: (head: ResponseHead) => void;
  /** Adds the next bytes of the stream; returns false when writing should pause. */
  add: (chunk: Buffer) => boolean;
  /** Finds why the stream must end before its end. */
  findProblem: () => string | undefined;
  isWithinEvent: () => boolean;
  /** Sends what is held back at the end of a complete stream. */
  finish: () => void;
}

/** Creates the relay of one stream. */
export function createEventRelay(options: EventRelayOptions): EventRelay {
  const { sendHead, write, held, onProgress } = options;
  const splitter = createEventSplitter();
  /** Head of a stream whose first event has not arrived, and the comments before that. */
  let heldHead: ResponseHead | undefined;
  let comments = createChunkBuffer(undefined);
  let commentBytes = 0;

  const sendHeld = (): void => {
    if (heldHead !== undefined) sendHead(heldHead);
    heldHead = undefined;
    if (commentBytes === 0) return;
    write(comments.finish());
    comments = createChunkBuffer(undefined);
    commentBytes = 0;
  };
  return {
    setHead: (head) => {
      heldHead = head;
    },
    add: (chunk) => {
      const events = splitter.add(chunk);
      if (events.length === 0) return true;
      const isProgress = !isOnlyComments(events);
      if (isProgress) onProgress(events);
      if (heldHead === undefined || isProgress) {
        sendHeld();
        return write(events);
      }
      comments.add(Buffer.from(events));
      commentBytes += events.length;
      return true;
    },
    findProblem: () => {
      const heldBytes = commentBytes + splitter.countIncomplete();
      return held.set(heldBytes) ? undefined : `no event ends within ${heldBytes} bytes`;
    },
    isWithinEvent: () => splitter.countIncomplete() > 0,
    finish: sendHeld,
  };
}
