import type { Socket } from 'node:net';
import { formatError } from '../../errors/index.js';
import type { Log } from '../../ports/log.js';
import { createFrameReader, encodeFrame, type MessageParser } from './frames.js';

/** Send buffer limit for each peer; a peer that reads too slowly is disconnected. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** One open connection to a peer. */
export interface PeerConnection<Message extends object> {
  /** Returns false when the connection is closed or its send buffer is over the limit. */
  send: (message: Message) => boolean;
  /** Resolves when the connection has closed. */
  ended: Promise<void>;
  close: () => void;
}

/** Options of a peer connection. */
export interface CreateConnectionOptions<Message extends object> {
  parse: MessageParser<Message>;
  onMessage: (message: Message, connection: PeerConnection<Message>) => void;
  /** Called with the size of each frame that is sent. */
  onSent: (bytes: number) => void;
  log: Log;
  /** Id or address of the peer, for log lines. */
  peer: string;
}

/** Creates a message connection over a socket; a malformed frame is logged and closes the connection. */
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
        log.warn({ peer }, 'peer connection closed: send buffer over its limit');
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
      log.warn(
        { peer, error: formatError(error) },
        'peer connection closed: received message could not be handled',
      );
      socket.destroy();
    }
  });
  return connection;
}
