import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import {
  chooseConnectionToClose,
  type ClientConnection,
} from '../../../decisions/clientLimits/chooseConnectionToClose/index.js';
import { MemoryPurpose } from '../../../decisions/clientLimits/mayReserve/index.js';
import { createAnswerMemory } from './_lib/createAnswerMemory.js';
import { createBodyReader } from './_lib/createBodyReader.js';
import { createMemoryBudget, type Reservation } from './_lib/createMemoryBudget.js';
import { createRejectionLog } from './_lib/createRejectionLog.js';
import { refuseRestOfBody } from './_lib/refuseRestOfBody.js';
import {
  BodyFailure,
  ClientRejection,
  type ClientGuard,
  type ClientGuardOptions,
  type GuardedRequest,
} from './types.js';

export * from './types.js';

interface Connection extends ClientConnection {
  socket: Socket;
  requests: Set<OpenRequest>;
  /** Whether the connection closes after the response that is being sent. */
  isClosing: boolean;
}

interface OpenRequest {
  incoming: IncomingMessage;
  response: ServerResponse;
}

const CHECK_INTERVAL_MS = 500; // a half of the shortest time that a decision depends on
/** A waiting request without its body: the objects of Node.js and of this process, on the heap. */
const REQUEST_BYTES = 12_288;

/** Creates the guard of a server: one memory budget, and limits on connections and waiting requests. */
export function createClientGuard(options: ClientGuardOptions): ClientGuard {
  const { limits, clock, log, onRejected } = options;
  const budget = createMemoryBudget(limits.memoryBytes);
  const connections = new Map<Duplex, Connection>();
  const rejectionLog = createRejectionLog({ clock, log });
  const countRejection = (reason: ClientRejection): void => {
    rejectionLog.record(reason);
    onRejected?.(reason);
  };
  const bodyReader = createBodyReader({ limits, clock, budget, countRejection });
  const answerMemory = createAnswerMemory({ limits, clock, budget, countRejection });

  const addConnection = (socket: Socket): void => {
    if (connections.size >= limits.maximumConnections) {
      countRejection(ClientRejection.connections);
      const replaced = chooseConnectionToClose(connections.values());
      (replaced?.socket ?? socket).destroy();
      if (replaced === undefined) return;
      connections.delete(replaced.socket);
    }
    const openRequests = new Set<OpenRequest>();
    connections.set(socket, {
      socket,
      activeRequests: 0,
      requestCount: 0,
      idleSinceMs: clock.monotonicMs(),
      isClosing: false,
      requests: openRequests,
    });
    socket.once('close', () => {
      connections.delete(socket);
      // Node.js reports the close only to the response that it was sending, not to those behind it.
      for (const { response } of [...openRequests]) {
        response.destroyed = true;
        response.emit('close');
      }
    });
  };

  const timer = setInterval(() => {
    answerMemory.check();
    bodyReader.check();
    rejectionLog.write();
  }, CHECK_INTERVAL_MS);
  timer.unref();

  const admitRequest = (
    incoming: IncomingMessage,
    response: ServerResponse,
  ): GuardedRequest | undefined => {
    const { socket } = incoming;
    const connection = connections.get(socket);
    if (connection === undefined || connection.isClosing || socket.destroyed) return undefined;
    if (connection.activeRequests >= limits.maximumWaitingRequests) {
      // Its rejection would have to wait for the answers to all earlier requests.
      countRejection(ClientRejection.waitingRequests);
      socket.destroy();
      return undefined;
    }
    connection.activeRequests += 1;
    connection.requestCount += 1;
    const reservation: Reservation = { bytes: 0, isLarge: false };
    const hasMemory = budget.reserve(reservation, REQUEST_BYTES, MemoryPurpose.small);
    const answer = answerMemory.open({ response, socket, reservation });
    const request: OpenRequest = { incoming, response };
    connection.requests.add(request);
    response.once('close', () => {
      connection.activeRequests -= 1;
      connection.idleSinceMs = clock.monotonicMs();
      connection.requests.delete(request);
      budget.release(reservation, 0);
      answerMemory.close(answer);
      answerMemory.resumeWaiting();
      bodyReader.resumeWaiting();
    });
    let isRead = false;
    return {
      readBody: (maximumBytes) => {
        isRead = true;
        if (hasMemory) return bodyReader.read(incoming, reservation, maximumBytes);
        countRejection(ClientRejection.noMemory);
        return Promise.resolve(BodyFailure.noMemory);
      },
      reserveAnswer: (bytes) => answerMemory.reserve(answer, bytes),
      skipBody: () => {
        const { maximumDiscardedBytes } = limits;
        connection.isClosing ||= refuseRestOfBody(
          incoming,
          response,
          maximumDiscardedBytes,
          !isRead,
        );
      },
    };
  };

  return {
    attach: (server) => {
      server.on('connection', addConnection);
    },
    admitRequest,
    mayAnswerError: (socket) => {
      const open = [...(connections.get(socket)?.requests ?? [])];
      return open.every(({ incoming, response }) => !incoming.complete && !response.headersSent);
    },
    close: () => clearInterval(timer),
  };
}
