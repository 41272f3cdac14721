import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { ClientLimits } from '../../../decisions/clientLimits/types.js';
import type { Clock } from '../../../ports/clock.js';
import type { Log } from '../../../ports/log.js';

/** Why a body could not be read. */
export const BodyFailure = {
  /** The client disconnected; no response can be sent. */
  cut: 'cut',
  tooLarge: 'too large',
  tooSlow: 'too slow',
  /** The memory for clients is exhausted. */
  noMemory: 'no memory',
} as const;
export type BodyFailure = (typeof BodyFailure)[keyof typeof BodyFailure];

/** Why a client was rejected, as the metrics and the log name it. */
export const ClientRejection = {
  bodyTooLarge: 'body_too_large',
  bodyTooSlow: 'body_too_slow',
  noMemory: 'no_memory',
  smallChunks: 'small_chunks',
  waitingRequests: 'waiting_requests',
  connections: 'connections',
  slowReader: 'slow_reader',
} as const;
export type ClientRejection = (typeof ClientRejection)[keyof typeof ClientRejection];

/** Options of a client guard. */
export interface ClientGuardOptions {
  limits: ClientLimits;
  clock: Clock;
  log: Log;
  /** Called for each rejected client. */
  onRejected?: (reason: ClientRejection) => void;
}

/** A request that a guard has admitted; its memory is released when its response has closed. */
export interface GuardedRequest {
  /** Reads the body within the limits. */
  readBody: (maximumBytes: number) => Promise<Buffer | BodyFailure>;
  /**
   * Must be called before a response to a request whose body is not read to its end. A long rest is
   * not read: the connection closes after the response, with time for the client to receive it.
   */
  skipBody: () => void;
  /**
   * Must be called before an answer is read whole. Waits for memory, and resolves to false if there is
   * none within the span of a body; the request may have run, so that no 503 may be sent.
   */
  reserveAnswer: (bytes: number) => Promise<boolean>;
}

/** Bounds what the clients of a server hold of this host. */
export interface ClientGuard {
  /** Limits the connections of a server. */
  attach: (server: Server) => void;
  /** Admits a request; returns undefined if its connection is closed or being closed. */
  admitRequest: (incoming: IncomingMessage, response: ServerResponse) => GuardedRequest | undefined;
  /**
   * Whether a response to a malformed or unfinished request may be written to its connection. It must
   * not take the place of the response to an earlier request, which may have run.
   */
  mayAnswerError: (socket: Duplex) => boolean;
  /** Ends the checks; bodies that are being read are no longer bounded in time. */
  close: () => void;
}
