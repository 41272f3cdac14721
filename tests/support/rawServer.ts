import { createServer, type AddressInfo, type Socket } from 'node:net';

/** A server that answers each request with bytes of the test's choice. */
export interface RawServer {
  port: number;
  /** Connections that are open. */
  countOpen: () => number;
  /** Bytes that callers have taken so far. */
  countWritten: () => number;
  close: () => Promise<void>;
}

/** Starts a server on a free port; `answer` gets the connection and the id of each request. */
export async function startRawServer(
  answer: (socket: Socket, requestId: string, head: string) => void,
): Promise<RawServer> {
  const open = new Set<Socket>();
  let closedBytes = 0;
  const server = createServer((socket) => {
    open.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => {
      open.delete(socket);
      closedBytes += socket.bytesWritten;
    });
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (!received.includes('\r\n\r\n')) return;
      const id = /request-id: *([^\r]*)/i.exec(received)?.[1] ?? '';
      const head = received;
      received = '';
      answer(socket, id, head);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    countOpen: () => open.size,
    countWritten: () => [...open].reduce((sum, socket) => sum + socket.bytesWritten, closedBytes),
    close: async () => {
      for (const socket of open) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

/** Writes chunks as fast as the reader takes them, until the connection closes. */
export function writeWithoutEnd(socket: Socket, chunk: string): void {
  const write = (): void => {
    while (!socket.destroyed) {
      if (socket.write(chunk)) continue;
      socket.once('drain', write);
      return;
    }
  };
  write();
}
