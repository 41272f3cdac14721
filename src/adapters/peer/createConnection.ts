import type { Socket } from 'node:net';
import { formatError } from '../../errors/index.js';
import type { Log } from '../../ports/log.js';
import { createFrameReader, encodeFrame, type MessageParser } from './frames.js';

/** Bytes that may wait to be sent to one peer; a slower peer is disconnected. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** One open connection to a peer. */
export interface PeerConnection<Message extends object> {
  /** Returns false when the connection is gone or too far behind. */
  send: (message: Message) => boolean;
  /** Settles when the connection has ended. */
  ended: Promise<void>;
  close: () => void;
}

/** What a connection does with what arrives. */
export interface CreateConnectionOptions<Message extends object> {
  parse: MessageParser<Message>;
  onMessage: (message: Message, connection: PeerConnection<Message>) => void;
  /** Called with the bytes of each frame that is sent. */
  onSent: (bytes: number) => void;
  log: Log;
  /** Who is at the other end, for the log. */
  peer: string;
}

/** Creates a connection over a socket; a malformed frame ends this connection with a log line. */
export function createConnection<Message extends object>(
  socket: Socket,
  options: CreateConnectionOptions<Message>,
): PeerConnection<Message> {
  const { parse, onMessage, onSent, log, peer } = options;
  const readFrames = createFrameReader(parse);
  const connection: PeerConnection<Message> = {
    send: (message) => {
      if (socket.destroyed || !socket.writable) return false;
      if (socket.writableLength > MAX_BUFFERED_BYTES) {
        log.warn({ peer }, 'peer reads too slowly, connection closed');
        socket.destroy();
        return false;
      }
      const frame = encodeFrame(message);
      socket.write(frame);
      onSent(frame.length);
      return true;
    },
    ended: new Promise((resolve) => socket.once('close', () => resolve())),
    close: () => socket.destroy(),
  };
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('data', (chunk: Buffer) => {
    try {
      for (const message of readFrames(chunk)) onMessage(message, connection);
    } catch (error) {
      log.warn({ peer, error: formatError(error) }, 'peer connection closed');
      socket.destroy();
    }
  });
  return connection;
}
