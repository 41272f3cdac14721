import { setTimeout as wait } from 'node:timers/promises';
import { isAborted } from '../../common/isAborted.js';
import { openServer } from '../../common/openServer.js';
import type { ListedHost } from '../../ports/hostList.js';
import type { Log } from '../../ports/log.js';
import type {
  ControlStateReply,
  ControlStateRequest,
  Heartbeat,
  LoanReply,
  LoanRequest,
  LoanSettlement,
  PeerMessage,
  Peers,
  WithdrawalNotice,
} from '../../ports/peers.js';
import { createConnection, type PeerConnection } from './createConnection.js';
import { watchAnswers } from './watchReceived.js';
import { parsePeerMessage } from './messages.js';
import { connectSecurely, createSecureServer } from './secureSocket.js';

const RECONNECT_DELAY_MS = 250;
const CONNECT_TIMEOUT_MS = 1000;
const ANSWER_TIMEOUT_MS = 2500; // five heartbeats; a peer without heartbeats counts as lost then, too
const KEEP_ALIVE_MS = 10_000;

/** Handlers of the messages that an entry host receives from its peers. */
export interface PeerHandlers {
  handleHeartbeat: (heartbeat: Heartbeat) => void;
  grantLoan: (request: LoanRequest) => LoanReply;
  settleLoan: (settlement: LoanSettlement) => void;
  collectControlState: (request: ControlStateRequest) => ControlStateReply;
  acceptWithdrawals: (notice: WithdrawalNotice) => void;
}

/** Options of the connections between entry hosts. */
export interface OpenPeerNetworkOptions {
  host: string;
  incarnation: string;
  address: string;
  /** 0 picks a free port. */
  port: number;
  /** Pre-shared secret of all entry hosts. */
  secret: string;
  handlers: PeerHandlers;
  log: Log;
}

/** Outbound connections to the other entry hosts, and the server that accepts theirs. */
export interface PeerNetwork extends Peers {
  port: number;
  /** Total bytes of all frames sent so far. */
  countBytesSent: () => number;
  /** Applies a new host list: connects to new or moved peers and disconnects removed ones. */
  setListedHosts: (hosts: readonly ListedHost[]) => void;
  close: () => Promise<void>;
}

interface PeerConnectionTask {
  endpoint: string;
  connection?: PeerConnection<PeerMessage>;
  /** Records that a heartbeat was sent, which the peer answers. */
  recordHeartbeat?: () => void;
  stop: AbortController;
}

/** Opens the peer server and maintains one connection to each listed peer. */
export async function openPeerNetwork(options: OpenPeerNetworkOptions): Promise<PeerNetwork> {
  const { host, incarnation, address, secret, handlers, log } = options;
  const tasks = new Map<string, PeerConnectionTask>();
  const inboundConnections = new Set<PeerConnection<PeerMessage>>();
  let bytesSent = 0;
  const onSent = (bytes: number): void => {
    bytesSent += bytes;
  };
  const pendingReplies = new Map<string, (reply: LoanReply | ControlStateReply) => void>();

  const handleMessage = (message: PeerMessage, connection: PeerConnection<PeerMessage>): void => {
    switch (message.type) {
      case 'hello':
        return;
      case 'heartbeat':
        handlers.handleHeartbeat(message);
        // Shows the sender that its connection works.
        connection.send({ type: 'hello', host, incarnation });
        return;
      case 'loanRequest':
        connection.send(handlers.grantLoan(message));
        return;
      case 'loanSettlement':
        handlers.settleLoan(message);
        return;
      case 'factsRequest':
        connection.send(handlers.collectControlState(message));
        return;
      case 'withdrawalNotice':
        handlers.acceptWithdrawals(message);
        return;
      case 'loanReply':
      case 'factsReply':
        pendingReplies.get(message.id)?.(message);
        return;
    }
  };

  const server = createSecureServer(secret, (socket) => {
    const peer = socket.remoteAddress ?? 'unknown';
    // A peer that has opened another connection sends nothing on this one, not even its end.
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    const connection = createConnection(socket, {
      parse: parsePeerMessage,
      onMessage: handleMessage,
      onSent,
      log,
      peer,
    });
    inboundConnections.add(connection);
    void connection.ended.then(() => inboundConnections.delete(connection));
  });
  const port = await openServer(server, address, options.port);

  const maintainConnection = async (
    listed: ListedHost,
    task: PeerConnectionTask,
  ): Promise<void> => {
    const { signal } = task.stop;
    while (!signal.aborted) {
      try {
        const socket = await connectSecurely(
          listed.address,
          listed.port,
          secret,
          CONNECT_TIMEOUT_MS,
        );
        const connection = createConnection(socket, {
          parse: parsePeerMessage,
          onMessage: handleMessage,
          onSent,
          log,
          peer: listed.id,
        });
        signal.addEventListener('abort', connection.close, { once: true });
        if (isAborted(signal)) connection.close();
        connection.send({ type: 'hello', host, incarnation });
        task.connection = connection;
        task.recordHeartbeat = watchAnswers(socket, ANSWER_TIMEOUT_MS, connection.close).recordSent;
        await connection.ended;
        signal.removeEventListener('abort', connection.close);
      } catch {
        // The peer is unreachable; the next iteration reconnects after the delay.
      }
      delete task.connection;
      await wait(RECONNECT_DELAY_MS, undefined, { signal, ref: false }).catch(() => undefined);
    }
  };

  const sendRequest = async <T extends LoanReply | ControlStateReply>(
    peer: string,
    message: LoanRequest | ControlStateRequest,
    timeoutMs: number,
  ): Promise<T | undefined> => {
    const connection = tasks.get(peer)?.connection;
    if (connection === undefined) return undefined;
    return new Promise((resolve) => {
      const finish = (reply: T | undefined): void => {
        clearTimeout(timer);
        pendingReplies.delete(message.id);
        resolve(reply);
      };
      const timer = setTimeout(() => finish(undefined), timeoutMs);
      pendingReplies.set(message.id, (reply) => finish(reply as T));
      if (!connection.send(message)) finish(undefined);
    });
  };

  return {
    port,
    countBytesSent: () => bytesSent,
    listConnected: () =>
      [...tasks].filter(([, { connection }]) => connection !== undefined).map(([id]) => id),
    send: (peer, message) => {
      const task = tasks.get(peer);
      const isSent = task?.connection?.send(message) ?? false;
      if (isSent && message.type === 'heartbeat') task?.recordHeartbeat?.();
      return isSent;
    },
    requestLoan: (peer, message, timeoutMs) => sendRequest<LoanReply>(peer, message, timeoutMs),
    requestControlState: (peer, message, timeoutMs) =>
      sendRequest<ControlStateReply>(peer, message, timeoutMs),
    setListedHosts: (hosts) => {
      const listedById = new Map(
        hosts.filter(({ id }) => id !== host).map((item) => [item.id, item]),
      );
      for (const [id, task] of tasks) {
        const listed = listedById.get(id);
        if (listed !== undefined && task.endpoint === `${listed.address}:${listed.port}`) continue;
        task.stop.abort();
        tasks.delete(id);
      }
      for (const [id, listed] of listedById) {
        if (tasks.has(id)) continue;
        const task: PeerConnectionTask = {
          endpoint: `${listed.address}:${listed.port}`,
          stop: new AbortController(),
        };
        tasks.set(id, task);
        void maintainConnection(listed, task);
      }
    },
    close: async () => {
      for (const { stop } of tasks.values()) stop.abort();
      tasks.clear();
      for (const connection of inboundConnections) connection.close();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
