import { connect, createServer, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { createConnection, type PeerConnection } from '../../adapters/peer/createConnection.js';
import { isAborted } from '../../common/isAborted.js';
import { openServer } from '../../common/openServer.js';
import { formatError } from '../../errors/index.js';
import type { Log } from '../../ports/log.js';
import { parseFleetMessage, type FleetMessage } from '../fleetMessages.js';
import type { FleetHost } from '../maintainMembership/index.js';

/** A connection between two hosts of the fleet. */
export type FleetConnection = PeerConnection<FleetMessage>;

/** Connections of one host: to the holder of the command, and from it to all hosts. */
export interface FleetTransport {
  /** Settles with the port; 0 picks a free one. */
  listen: (address: string, port: number) => Promise<number>;
  /** While a fence is given, keeps a connection to each host that is or was listed lately. */
  setLeadership: (fence: number | undefined) => void;
  setHosts: (hosts: readonly FleetHost[]) => void;
  /** Sends to the holder of the command; false when it is not connected. */
  sendToLeader: (message: FleetMessage) => boolean;
  close: () => void;
}

/** Options of the connections of one host. */
export interface FleetTransportOptions {
  self: string;
  log: Log;
  /** Messages of hosts, at the holder of the command. */
  onHostMessage: (host: string, message: FleetMessage, connection: FleetConnection) => void;
  onHostConnected: (host: string, connection: FleetConnection) => void;
  onHostDisconnected: (host: string) => void;
  /** Messages of the holder of the command. */
  onLeaderMessage: (message: FleetMessage, connection: FleetConnection) => void;
  onLeaderDisconnected: () => void;
}

const CONNECT_MS = 1000;
const RECONNECT_MS = 400;
const IDLE_MS = 2500; // several rounds of the fleet; a silent connection is taken for dead
const UNLISTED_TRIES = 40; // a host that the store turned away still gets the figures for a while

function openSocket(host: FleetHost): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host: host.address, port: host.port, noDelay: true });
    socket.setTimeout(CONNECT_MS, () => socket.destroy(new Error('connect timed out')));
    socket.once('connect', () => {
      socket.setTimeout(0);
      resolve(socket);
    });
    socket.once('error', reject);
  });
}

/** Ends a connection that has been silent for too long, as a lost peer sends no reset. */
function watchIdle(socket: Socket): void {
  socket.setTimeout(IDLE_MS, () => socket.destroy());
}

/** Creates the connections of one host. */
export function createFleetTransport(options: FleetTransportOptions): FleetTransport {
  const { self, log } = options;
  const tasks = new Map<string, { host: FleetHost; stop: AbortController }>();
  const incoming = new Set<FleetConnection>();
  let listed = new Map<string, FleetHost>();
  let leading: number | undefined;
  let holder: { fence: number; connection: FleetConnection } | undefined;
  const onSent = (): void => undefined;

  const handleIncoming = (message: FleetMessage, connection: FleetConnection): void => {
    if (message.type === 'command') {
      if (holder !== undefined && holder.fence > message.fence) {
        connection.close();
        return;
      }
      log.info({ holder: message.host, fence: message.fence }, 'holder of the command connected');
      holder?.connection.close();
      holder = { fence: message.fence, connection };
      return;
    }
    if (holder?.connection === connection) options.onLeaderMessage(message, connection);
  };

  const server = createServer({ noDelay: true }, (socket) => {
    watchIdle(socket);
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
      if (holder?.connection !== connection) return;
      holder = undefined;
      log.warn({ peer }, 'holder of the command lost');
      options.onLeaderDisconnected();
    });
  });

  const runHost = async (host: FleetHost, fence: number, signal: AbortSignal): Promise<void> => {
    let tries = 0;
    while (!isAborted(signal) && (listed.has(host.name) || tries < UNLISTED_TRIES)) {
      tries += 1;
      try {
        const socket = await openSocket(host);
        watchIdle(socket);
        const connection = createConnection(socket, {
          parse: parseFleetMessage,
          onMessage: (message, from) => options.onHostMessage(host.name, message, from),
          onSent,
          log,
          peer: host.name,
        });
        signal.addEventListener('abort', connection.close, { once: true });
        connection.send({ type: 'command', host: self, fence });
        options.onHostConnected(host.name, connection);
        await connection.ended;
        tries = 0;
        signal.removeEventListener('abort', connection.close);
        options.onHostDisconnected(host.name);
      } catch (error) {
        // The next round tries again, and the store says when the host is gone.
        if (tries === 1)
          log.warn({ peer: host.name, error: formatError(error) }, 'host of the fleet not reached');
      }
      await wait(RECONNECT_MS, undefined, { signal, ref: false }).catch(() => undefined);
    }
    if (tasks.get(host.name)?.host === host) tasks.delete(host.name);
  };

  const startTasks = (): void => {
    if (leading === undefined) return;
    for (const [name, host] of listed) {
      const task = tasks.get(name);
      if (name === self) continue;
      if (task?.host.address === host.address && task.host.port === host.port) continue;
      task?.stop.abort();
      const stop = new AbortController();
      tasks.set(name, { host, stop });
      void runHost(host, leading, stop.signal);
    }
  };

  const stopTasks = (): void => {
    for (const { stop } of tasks.values()) stop.abort();
    tasks.clear();
  };

  return {
    listen: (address, port) => openServer(server, address, port),
    setLeadership: (fence) => {
      if (fence === leading) return;
      stopTasks();
      leading = fence;
      startTasks();
    },
    setHosts: (hosts) => {
      listed = new Map(hosts.map((host) => [host.name, host]));
      startTasks();
    },
    sendToLeader: (message) => holder?.connection.send(message) ?? false,
    close: () => {
      stopTasks();
      server.close();
      for (const connection of incoming) connection.close();
    },
  };
}
