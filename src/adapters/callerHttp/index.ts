import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from '../../ports/clock.js';
import type { ClientGuard, GuardedRequest } from './createClientGuard/types.js';
import type { CallerLimits, CallerRequest } from './types.js';

export * from './responses.js';
export * from './readBody.js';
export * from './types.js';

/** Options of an HTTP server for callers or operators. */
export interface OpenCallerServerOptions {
  address: string;
  /** 0 picks a free port. */
  port: number;
  limits: CallerLimits;
  clock: Clock;
  /** Bounds what clients hold of this host. */
  guard: ClientGuard;
  /** Handles one request and sends its response; must not reject. */
  handle: (request: CallerRequest) => Promise<void>;
}

/** A listening HTTP server. */
export interface CallerServer {
  port: number;
  /** Sends `Connection: close` on all further responses and closes idle connections. */
  startDraining: () => void;
  /** Accepts no new connections and resolves when all requests have ended. */
  stop: () => Promise<void>;
  /** Closes all connections immediately. */
  close: () => void;
}

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;

function createCallerRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
  guarded: GuardedRequest,
  clock: Clock,
): CallerRequest {
  const url = incoming.url ?? '/';
  const queryStart = url.indexOf('?');
  const suppliedId = incoming.headers['x-request-id'];
  const isValidId = typeof suppliedId === 'string' && REQUEST_ID_PATTERN.test(suppliedId);
  return {
    id: isValidId ? suppliedId : randomUUID(),
    method: incoming.method ?? 'GET',
    path: queryStart === -1 ? url : url.slice(0, queryStart),
    query: queryStart === -1 ? '' : url.slice(queryStart),
    incoming,
    response,
    guarded,
    startedAtMs: clock.monotonicMs(),
  };
}

function startListening(server: Server, port: number, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Opens an HTTP server that passes each request to the handler. */
export async function openCallerServer(options: OpenCallerServerOptions): Promise<CallerServer> {
  const { limits, clock, guard, handle } = options;
  let isDraining = false;
  const server = createServer(
    {
      maxHeaderSize: limits.maximumHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAlive: true,
      noDelay: true,
    },
    (incoming, response) => {
      if (isDraining) response.setHeader('Connection', 'close');
      response.on('error', () => undefined);
      const guarded = guard.admitRequest(incoming, response);
      if (guarded !== undefined)
        void handle(createCallerRequest(incoming, response, guarded, clock));
    },
  );
  guard.attach(server);
  await startListening(server, options.port, options.address);
  return {
    port: (server.address() as AddressInfo).port,
    startDraining: () => {
      isDraining = true;
      server.closeIdleConnections();
    },
    stop: () =>
      new Promise((resolve) => {
        isDraining = true;
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
    close: () => server.closeAllConnections(),
  };
}
