import { connect, createServer, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { createConnection, type PeerConnection } from '../../adapters/peer/createConnection.js';
import { watchReceived } from '../../adapters/peer/watchReceived.js';
import { isAborted } from '../../common/isAborted.js';
import { openServer } from '../../common/openServer.js';
import { formatError } from '../../errors/index.js';
import type { Log } from '../../ports/log.js';
import { parseFleetMessage, type FleetMessage } from '../fleetMessages.js';
import type { FleetHost } from '../maintainMembership/index.js';

/** A connection between two hosts of the fleet. */
export type FleetConnection = PeerConnection<FleetMessage>;

/** Connections of one host: from the leader to this host and, as leader, to all hosts. */
export interface FleetTransport {
  /** Starts to listen; resolves to the port, a free one for 0. */
  listen: (address: string, port: number) => Promise<number>;
  /** Under a fencing token, keeps connections to all current and recently registered hosts. */
  setLeadership: (fence: number | undefined) => void;
  /** Sets the hosts that are registered in the store. */
  setHosts: (hosts: readonly FleetHost[]) => void;
  /** Sends to the leader; false when it is not connected. */
  sendToLeader: (message: FleetMessage) => boolean;
  close: () => void;
}

/** Options of the connections of one host. */
export interface FleetTransportOptions {
  /** Name of this host. */
  self: string;
  log: Log;
  /** Called, as leader, with each message of a host. */
  onHostMessage: (host: string, message: FleetMessage, connection: FleetConnection) => void;
  /**
   * Called, as leader, when a connection to a host is open, and when it has ended. A new connection
   * replaces an earlier one, which is closed without a call.
   */
  onHostConnected: (host: string, connection: FleetConnection) => void;
  onHostDisconnected: (host: string, connection: FleetConnection) => void;
  onLeaderConnected: () => void;
  /** Called with each message of the leader. */
  onLeaderMessage: (message: FleetMessage, connection: FleetConnection) => void;
  onLeaderDisconnected: () => void;
}

const CONNECT_TIMEOUT_MS = 1000;
const RECONNECT_BACKOFF_MS = 400;
const RECEIVE_TIMEOUT_MS = 2500; // several rounds; a connection without received data counts as lost
/** A leader opens another connection after five rounds without a report, before views count as missing. */
const SUSPECT_MS = 1000;
// A host that the store rejects loses its registration but still gets views for a while.
const MAX_DEREGISTERED_ATTEMPTS = 40;

function openSocket(host: FleetHost): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host: host.address, port: host.port, noDelay: true });
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy(new Error('connect timed out')));
    socket.once('connect', () => {
      socket.setTimeout(0);
      resolve(socket);
    });
    socket.once('error', reject);
  });
}

/** Closes a connection on which nothing arrives, as an unreachable peer sends no reset. */
function setReceiveTimeout(socket: Socket): void {
  watchReceived(socket, RECEIVE_TIMEOUT_MS, () => socket.destroy());
}

/** Creates the connections of one host. */
export function createFleetTransport(options: FleetTransportOptions): FleetTransport {
  const { self, log } = options;
  const tasks = new Map<string, { host: FleetHost; stop: AbortController }>();
  const incoming = new Set<FleetConnection>();
  let registeredHosts = new Map<string, FleetHost>();
  let ownFence: number | undefined;
  let leader: { fence: number; number: number; connection: FleetConnection } | undefined;
  let connectionCount = 0;
  const onSent = (): void => undefined;

  const handleIncoming = (message: FleetMessage, connection: FleetConnection): void => {
    if (message.type === 'command') {
      const { fence, number = Infinity } = message;
      const isOlder = leader?.fence === fence && leader.number > number;
      if (leader !== undefined && (leader.fence > fence || isOlder)) {
        connection.close();
        return;
      }
      log.info({ holder: message.host, fence: message.fence }, 'leader connected');
      leader?.connection.close();
      leader = { fence, number, connection };
      options.onLeaderConnected();
      return;
    }
    if (leader?.connection === connection) options.onLeaderMessage(message, connection);
  };

  const server = createServer({ noDelay: true }, (socket) => {
    setReceiveTimeout(socket);
    const peer = socket.remoteAddress ?? 'unknown';
    const connection = createConnection(socket, {
      parse: parseFleetMessage,
      onMessage: handleIncoming,
      onSent,
      log,
      peer,
    });
    incoming.add(connection);
    void connection.ended.then(() => {
      incoming.delete(connection);
      if (leader?.connection !== connection) return;
      leader = undefined;
      log.warn({ peer }, 'leader connection lost');
      options.onLeaderDisconnected();
    });
  });

  /** Opens a connection to a host as its leader; `suspected` settles once no data arrives. */
  const openHostConnection = async (
    host: FleetHost,
    fence: number,
    signal: AbortSignal,
  ): Promise<{ connection: FleetConnection; suspected: Promise<void> }> => {
    const socket = await openSocket(host);
    setReceiveTimeout(socket);
    const connection = createConnection<FleetMessage>(socket, {
      parse: parseFleetMessage,
      onMessage: (message, from) => options.onHostMessage(host.name, message, from),
      onSent,
      log,
      peer: host.name,
    });
    signal.addEventListener('abort', connection.close, { once: true });
    void connection.ended.then(() => signal.removeEventListener('abort', connection.close));
    // The leadership may have ended while the connection was being made.
    if (isAborted(signal)) connection.close();
    connectionCount += 1;
    connection.send({ type: 'command', host: self, fence, number: connectionCount });
    // A host that has not answered at all is not suspected again at once; its connection times out.
    const suspected = new Promise<void>((resolve) =>
      socket.once('data', () => watchReceived(socket, SUSPECT_MS, resolve)),
    );
    return { connection, suspected };
  };

  const maintainConnection = async (
    host: FleetHost,
    fence: number,
    signal: AbortSignal,
  ): Promise<void> => {
    let attempts = 0;
    let current: FleetConnection | undefined;
    while (
      !isAborted(signal) &&
      (registeredHosts.has(host.name) || attempts < MAX_DEREGISTERED_ATTEMPTS)
    ) {
      attempts += 1;
      try {
        const { connection, suspected } = await openHostConnection(host, fence, signal);
        const previous = current;
        current = connection;
        previous?.close();
        const ended = connection.ended.then(() => {
          if (current !== connection) return;
          current = undefined;
          options.onHostDisconnected(host.name, connection);
        });
        options.onHostConnected(host.name, connection);
        await Promise.race([ended, suspected]);
        attempts = 0;
        if (current === connection) {
          log.info({ peer: host.name }, 'connection to host is silent, opening another one');
          continue;
        }
      } catch (error) {
        // The loop retries; the store reports when the host is deregistered.
        if (attempts === 1)
          log.warn({ peer: host.name, error: formatError(error) }, 'connection to host failed');
      }
      await wait(RECONNECT_BACKOFF_MS, undefined, { signal, ref: false }).catch(() => undefined);
    }
    if (tasks.get(host.name)?.host === host) tasks.delete(host.name);
  };

  const connectHosts = (): void => {
    if (ownFence === undefined) return;
    for (const [name, host] of registeredHosts) {
      const task = tasks.get(name);
      if (name === self) continue;
      if (task?.host.address === host.address && task.host.port === host.port) continue;
      task?.stop.abort();
      const stop = new AbortController();
      tasks.set(name, { host, stop });
      void maintainConnection(host, ownFence, stop.signal);
    }
  };

  const disconnectHosts = (): void => {
    for (const { stop } of tasks.values()) stop.abort();
    tasks.clear();
  };

  return {
    listen: (address, port) => openServer(server, address, port),
    setLeadership: (fence) => {
      if (fence === ownFence) return;
      disconnectHosts();
      ownFence = fence;
      connectHosts();
    },
    setHosts: (hosts) => {
      registeredHosts = new Map(hosts.map((host) => [host.name, host]));
      connectHosts();
    },
    sendToLeader: (message) => leader?.connection.send(message) ?? false,
    close: () => {
      disconnectHosts();
      server.close();
      for (const connection of incoming) connection.close();
    },
  };
}
