import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import { createSocketReader, type SocketReader } from '../createSocketReader/index.js';
import { createReadingHandler } from './_lib/createReadingHandler.js';

/** Options of createResettingClient. */
export type ResettingClientOptions = Omit<Client.Options, 'connect'> & {
  connect?: buildConnector.connector | buildConnector.BuildOptions;
};

/** Sockets of all clients in use; undefined until the first one. */
let openSockets: Set<Socket> | undefined;

/** Tracks a socket, so that the end of the process resets it too if its request is unanswered. */
function recordSocket(socket: Socket): void {
  if (openSockets === undefined) {
    const sockets = new Set<Socket>();
    openSockets = sockets;
    process.once('exit', () => {
      for (const open of sockets) open.destroy();
    });
  }
  const sockets = openSockets;
  sockets.add(socket);
  socket.once('close', () => {
    sockets.delete(socket);
  });
}

/** Makes `destroy` reset the connection of a socket while a request on it is unanswered. */
function setResetOnDestroy(socket: Socket, isUnanswered: () => boolean): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error) => {
    if (!isUnanswered()) return destroy(error);
    // By version, Node.js calls one or the other; destroySoon would first write what waits, and end regularly.
    socket.destroy = () => destroy(error);
    socket.destroySoon = () => void destroy(error);
    return socket.resetAndDestroy();
  };
}

/**
 * Creates a client that resets its connection when a request is abandoned: by its signal, a time-out, the end of the
 * client or of the process. After a regular close, TCP goes on delivering what was written, seconds later when the
 * network was cut meanwhile. Bytes of a connection that was reset are discarded. A connection without an unanswered
 * request is closed regularly. SIGKILL does
 * not reset connections, and those with TLS are closed regularly, as Node.js resets none. Responses are read by
 * `createSocketReader`; a response with too much that is no body ends its connection.
 */
export function createResettingClient(
  origin: string | URL,
  options: ResettingClientOptions = {},
): Client {
  const { connect: given = {} } = options;
  const connect = typeof given === 'function' ? given : buildConnector(given);
  let reader: SocketReader | undefined;
  const client: Client = new Client(origin, {
    ...options,
    connect: (target, callback) => {
      connect(target, (...result) => {
        const [error, socket] = result;
        if (error === null && target.protocol === 'http:') {
          setResetOnDestroy(socket, () => client.stats.running > 0);
          recordSocket(socket);
        }
        if (error === null) reader = createSocketReader(socket);
        callback(...result);
      });
    },
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (request, handler) =>
    dispatch(
      request,
      createReadingHandler(handler, () => reader),
    );
  return client;
}
