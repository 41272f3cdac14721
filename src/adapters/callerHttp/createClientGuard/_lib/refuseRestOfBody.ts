import type { IncomingMessage, ServerResponse } from 'node:http';

const LINGER_MS = 1000; // time for the client to receive the response before the reset
const MAX_DISCARDED_CHUNKS = 1024; // a chunk of one byte costs as much time as a long one

/**
 * Discards the rest of a body that is not needed. A short rest is read, so that the connection can be
 * used again. Returns true if the connection closes after the response instead: the host stops to read
 * after `maximumBytes`, ends its side, and closes the connection a little later, because closing it at
 * once could discard the response before the client has received it.
 */
export function refuseRestOfBody(
  incoming: IncomingMessage,
  response: ServerResponse,
  maximumBytes: number,
  mayKeepConnection: boolean,
): boolean {
  const announcedBytes = Number(incoming.headers['content-length'] ?? Infinity);
  if (incoming.complete || (mayKeepConnection && announcedBytes <= maximumBytes)) {
    incoming.resume();
    return false;
  }
  const { socket } = incoming;
  response.shouldKeepAlive = false;
  let discardedBytes = 0;
  let discardedChunks = 0;
  incoming.on('error', () => undefined);
  incoming.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    discardedChunks += 1;
    if (discardedChunks > MAX_DISCARDED_CHUNKS) socket.destroy();
    else if (discardedBytes > maximumBytes) incoming.pause();
  });
  // The server would read the body to its end if nothing had been read of it.
  incoming.read(0);
  incoming.resume();
  socket.destroySoon = () => {
    socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    timer.unref();
    socket.once('close', () => clearTimeout(timer));
  };
  return true;
}
