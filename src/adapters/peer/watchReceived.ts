import type { Socket } from 'node:net';

/**
 * Calls `onSilent` when nothing was received for a time. Data that is sent does not count: on a
 * connection that has gone silent, writes succeed until the buffers are full.
 */
export function watchReceived(socket: Socket, timeoutMs: number, onSilent: () => void): void {
  const timer = setTimeout(() => {
    const { bytesRead } = socket;
    // After a pause of the process, timers run before the data that has arrived meanwhile is read.
    setImmediate(() => {
      if (!socket.destroyed && socket.bytesRead === bytesRead) onSilent();
    });
  }, timeoutMs);
  socket.on('data', () => timer.refresh());
  socket.once('close', () => clearTimeout(timer));
}
