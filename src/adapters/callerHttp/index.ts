import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from '../../ports/clock.js';
import type { CallerLimits, CallerRequest } from './types.js';

export * from './responses.js';
export * from './readBody.js';
export * from './types.js';

/** Options of the server for callers. */
export interface OpenCallerServerOptions {
  address: string;
  /** 0 picks a free port. */
  port: number;
  limits: CallerLimits;
  clock: Clock;
  /** Answers one request; must not reject. */
  handle: (request: CallerRequest) => Promise<void>;
}

/** A listening HTTP server. */
export interface CallerServer {
  port: number;
  /** From now on each answer asks its caller to open a new connection. */
  startDraining: () => void;
  /** Takes no new connection and waits until all requests have ended. */
  stop: () => Promise<void>;
  close: () => void;
}

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;

function createCallerRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
  clock: Clock,
): CallerRequest {
  const url = incoming.url ?? '/';
  const queryStart = url.indexOf('?');
  const given = incoming.headers['x-request-id'];
  const isUsable = typeof given === 'string' && REQUEST_ID_PATTERN.test(given);
  return {
    id: isUsable ? given : randomUUID(),
    method: incoming.method ?? 'GET',
    path: queryStart === -1 ? url : url.slice(0, queryStart),
    query: queryStart === -1 ? '' : url.slice(queryStart),
    incoming,
    response,
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

/** Opens an HTTP server that hands each request to the handler. */
export async function openCallerServer(options: OpenCallerServerOptions): Promise<CallerServer> {
  const { limits, clock, handle } = options;
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
      void handle(createCallerRequest(incoming, response, clock)).finally(() => {
        // An unread body must not be taken for the next request.
        if (!incoming.complete) incoming.unpipe().resume();
      });
    },
  );
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
