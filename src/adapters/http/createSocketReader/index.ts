import type { Socket } from 'node:net';
import { createProtocolScanner } from './_lib/createProtocolScanner.js';
import { createTurnQueue, type TurnQueue } from './_lib/createTurnQueue.js';

/** Reads the responses on one connection, with bounds on what is no body and on the work of a turn of the event loop. */
export interface SocketReader {
  /** Starts the next response; its body goes to `deliver`, in as few parts as the reads allow. */
  startResponse: (deliver: (body: Buffer) => void) => void;
  /** Adds a parsed chunk of the body; it is delivered together with the other chunks of the same read. */
  addBody: (chunk: Buffer) => void;
  /** Delivers what was added, and ends the response. */
  finishResponse: () => void;
  /** Stops reading; what has been read is still delivered. */
  pause: () => void;
  resume: () => void;
  isPaused: () => boolean;
  /** First eight bytes of each head of the response that has been read. */
  listProtocols: () => readonly string[];
}

/** Options of createSocketReader. */
export interface SocketReaderOptions {
  /** Lets connections whose responses are mostly framing read in turns. */
  turns?: TurnQueue;
}

const MAX_OVERHEAD_BYTES = 131_072; // twice the largest head that callers' requests may have
const OVERHEAD_PER_BODY_BYTE = 8; // a chunk of one byte has five bytes of framing
const READ_BYTES = 65_536; // what Node.js reads from a socket at once
/** Framing in one read above which the connection waits for its turn. */
const MAX_FRAMING_BYTES = 4096;
const SMALL_READ_BYTES = 16_384; // of a connection that had to wait for its turn

/** One queue for the process, as its connections share one event loop. */
const sharedTurns = createTurnQueue();

/**
 * Takes over `socket.read`, which the HTTP client calls until it returns null: a socket that hands out nothing is
 * paused, whatever the parser of the client has been given so far.
 */
export function createSocketReader(
  socket: Socket,
  options: SocketReaderOptions = {},
): SocketReader {
  const { turns = sharedTurns } = options;
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
  const scanner = createProtocolScanner();
  let deliver: ((body: Buffer) => void) | undefined;
  let parts: Buffer[] = [];
  let partBytes = 0;
  let readBytes = 0;
  let bodyBytes = 0;
  /** Whether bytes that were read have not been finished. */
  let isReading = false;
  /** Bytes of the last read that were no body. */
  let framingBytes = 0;
  let isPaused = false;
  let isWaiting = false;
  let maximumBytes = READ_BYTES;

  const deliverParts = (): void => {
    const [first] = parts;
    if (first === undefined) return;
    const body = parts.length === 1 ? first : Buffer.concat(parts, partBytes);
    parts = [];
    partBytes = 0;
    deliver?.(body);
  };
  const resumeReading = (): void => {
    if (!socket.destroyed) socket.emit('readable');
  };
  const startWaiting = (): void => {
    isWaiting = true;
    turns.add(() => {
      isWaiting = false;
      resumeReading();
    });
  };
  /** Completes the last read, whose bytes have been parsed by now; throws if too many are no body. */
  const finishRead = (): void => {
    if (!isReading) return;
    isReading = false;
    deliverParts();
    const overhead = readBytes - bodyBytes;
    if (overhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * bodyBytes)
      throw new Error(`${overhead} bytes of a response are no body`);
    const isExcessive = framingBytes > MAX_FRAMING_BYTES;
    maximumBytes = isExcessive ? SMALL_READ_BYTES : READ_BYTES;
    if (isExcessive) startWaiting();
  };
  socket.read = (size?: number): Buffer | null => {
    // Node.js asks for no bytes to fill the buffer of the socket.
    if (size === 0) return read(0);
    try {
      finishRead();
    } catch (error) {
      socket.destroy(error instanceof Error ? error : new Error(String(error)));
    }
    if (isPaused || isWaiting || socket.destroyed) return null;
    const available = Math.min(socket.readableLength, maximumBytes);
    const chunk = available === 0 ? read() : read(available);
    if (chunk === null) return null;
    isReading = true;
    scanner.scan(chunk);
    readBytes += chunk.length;
    framingBytes = chunk.length;
    return chunk;
  };
  return {
    startResponse: (next) => {
      scanner.start();
      deliver = next;
      parts = [];
      partBytes = 0;
      readBytes = 0;
      bodyBytes = 0;
    },
    addBody: (chunk) => {
      parts.push(chunk);
      partBytes += chunk.length;
      bodyBytes += chunk.length;
      framingBytes -= chunk.length;
    },
    finishResponse: () => {
      deliverParts();
      deliver = undefined;
      isPaused = false;
    },
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      if (!isPaused) return;
      isPaused = false;
      // Not at once: the pause may be that of a read that is still being handled.
      setImmediate(resumeReading);
    },
    isPaused: () => isPaused,
    listProtocols: scanner.listProtocols,
  };
}
