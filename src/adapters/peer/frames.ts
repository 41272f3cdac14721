import { Decoder, Encoder } from 'cbor-x';
import { PeerProtocolError } from '../../errors/index.js';

const LENGTH_BYTES = 4;
const EMPTY = Buffer.alloc(0);

/** Maximum size of a frame body in bytes; the connection is closed on a larger one. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** CBOR would carry the names of fields that are undefined, several of them in each report and view. */
function dropUndefined(message: object): object {
  return Object.fromEntries(Object.entries(message).filter(([, value]) => value !== undefined));
}

/** Encodes a message as a 4-byte big-endian length and a CBOR body; fields that are undefined are left out. */
export function encodeFrame(message: object): Buffer {
  const body = encoder.encode(dropUndefined(message));
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Takes the next received chunk and returns the messages that it completes. */
export type FrameReader<Message> = (chunk: Buffer) => Message[];

/** Validates a decoded frame as a message; throws when it is not one. */
export type MessageParser<Message> = (value: unknown) => Message;

function decodeBody<Message>(body: Buffer, parse: MessageParser<Message>): Message {
  try {
    return parse(decoder.decode(body));
  } catch (cause) {
    throw new PeerProtocolError('frame does not contain a valid message', { cause });
  }
}

/** Creates a frame reader that throws a PeerProtocolError on a malformed or oversized frame. */
export function createFrameReader<Message>(
  parse: MessageParser<Message>,
  maximumBytes = MAX_FRAME_BYTES,
): FrameReader<Message> {
  let chunks: Buffer[] = [];
  let length = 0;
  return (chunk) => {
    chunks.push(chunk);
    length += chunk.length;
    const messages: Message[] = [];
    while (length >= LENGTH_BYTES) {
      // Joined once, so that a frame whose length arrives in parts isn't joined anew with each chunk.
      if ((chunks[0]?.length ?? 0) < LENGTH_BYTES) chunks = [Buffer.concat(chunks)];
      const [first = EMPTY] = chunks;
      const bodyLength = first.readUInt32BE(0);
      if (bodyLength > maximumBytes)
        throw new PeerProtocolError(
          `frame of ${bodyLength} bytes exceeds the limit of ${maximumBytes} bytes`,
        );
      if (length < LENGTH_BYTES + bodyLength) break;
      const received = chunks.length === 1 ? first : Buffer.concat(chunks);
      messages.push(decodeBody(received.subarray(LENGTH_BYTES, LENGTH_BYTES + bodyLength), parse));
      const remaining = received.subarray(LENGTH_BYTES + bodyLength);
      chunks = remaining.length > 0 ? [remaining] : [];
      length = remaining.length;
    }
    return messages;
  };
}
