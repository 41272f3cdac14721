import { createServer, type AddressInfo, type Socket } from 'node:net';

/** How a connection ended for the server: by a regular end, or by a reset. */
export type ConnectionEnd = 'end' | 'reset';

/** A server that records what it receives and how each connection ends. */
export interface RecordingServer {
  port: number;
  sockets: Socket[];
  /** How the first connection ended; undefined while it is open. */
  getFirstEnd: () => ConnectionEnd | undefined;
  getText: () => string;
  close: () => Promise<void>;
}

/** Starts a server on a free port that answers only what `onText` writes. */
export async function startRecordingServer(
  onText: (socket: Socket, text: string) => void = () => undefined,
): Promise<RecordingServer> {
  let text = '';
  const sockets: Socket[] = [];
  let firstEnd: ConnectionEnd | undefined;
  const server = createServer((socket) => {
    sockets.push(socket);
    const recordEnd = (end: ConnectionEnd): void => {
      if (socket === sockets[0]) firstEnd ??= end;
    };
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      onText(socket, text);
    });
    socket.once('end', () => recordEnd('end'));
    socket.on('error', () => recordEnd('reset'));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    sockets,
    getFirstEnd: () => firstEnd,
    getText: () => text,
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
