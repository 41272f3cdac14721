import { Decoder, Encoder } from 'cbor-x';
import { PeerProtocolError } from '../../errors/index.js';

const LENGTH_BYTES = 4;

/** Largest frame in bytes; a longer one ends the connection. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a message as a length and a CBOR body. */
export function encodeFrame(message: object): Buffer {
  const body = encoder.encode(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Takes bytes as they arrive and returns the messages that are complete. */
export type FrameReader<Message> = (chunk: Buffer) => Message[];

/** Checks a decoded frame; throws when it is no message. */
export type MessageParser<Message> = (value: unknown) => Message;

function decodeBody<Message>(body: Buffer, parse: MessageParser<Message>): Message {
  try {
    return parse(decoder.decode(body));
  } catch (cause) {
    throw new PeerProtocolError('a frame is not a peer message', { cause });
  }
}

/** Creates a reader of frames; it throws a PeerProtocolError on a malformed or too long frame. */
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
      const first = chunks[0];
      const head =
        first !== undefined && first.length >= LENGTH_BYTES ? first : Buffer.concat(chunks);
      const bodyLength = head.readUInt32BE(0);
      if (bodyLength > maximumBytes)
        throw new PeerProtocolError(`a frame of ${bodyLength} bytes is over ${maximumBytes}`);
      if (length < LENGTH_BYTES + bodyLength) break;
      const all = chunks.length === 1 ? head : Buffer.concat(chunks);
      messages.push(decodeBody(all.subarray(LENGTH_BYTES, LENGTH_BYTES + bodyLength), parse));
      const rest = all.subarray(LENGTH_BYTES + bodyLength);
      chunks = rest.length > 0 ? [rest] : [];
      length = rest.length;
    }
    return messages;
  };
}
