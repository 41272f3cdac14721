import type { Socket } from 'node:net';

/** Calls `onSilent` unless data has arrived that is not read yet. */
function checkSilence(socket: Socket, onSilent: () => void): void {
  const { bytesRead } = socket;
  // After a pause of the process, timers run before the data that has arrived meanwhile is read.
  setImmediate(() => {
    if (!socket.destroyed && socket.bytesRead === bytesRead) onSilent();
  });
}

/**
 * Calls `onSilent` when nothing was received for a time. Data that is sent does not count: on a
 * connection that has gone silent, writes succeed until the buffers are full.
 */
export function watchReceived(socket: Socket, timeoutMs: number, onSilent: () => void): void {
  const timer = setTimeout(() => checkSilence(socket, onSilent), timeoutMs);
  socket.on('data', () => timer.refresh());
  socket.once('close', () => clearTimeout(timer));
}

/**
 * Calls `onSilent` when nothing was received for a time after `recordSent` was called, which is for
 * messages that the peer answers. A peer that has never answered on this connection is not watched,
 * as earlier versions do not.
 */
export function watchAnswers(
  socket: Socket,
  timeoutMs: number,
  onSilent: () => void,
): { recordSent: () => void } {
  let isAnswering = false;
  let timer: NodeJS.Timeout | undefined;
  const stop = (): void => {
    clearTimeout(timer);
    timer = undefined;
  };
  socket.on('data', () => {
    isAnswering = true;
    stop();
  });
  socket.once('close', stop);
  return {
    recordSent: () => {
      if (isAnswering && !socket.destroyed)
        timer ??= setTimeout(() => checkSilence(socket, onSilent), timeoutMs);
    },
  };
}
