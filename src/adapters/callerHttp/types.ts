import type { IncomingMessage, ServerResponse } from 'node:http';

/** One request of a caller. */
export interface CallerRequest {
  id: string;
  method: string;
  path: string;
  /** Query with its question mark, or nothing. */
  query: string;
  incoming: IncomingMessage;
  response: ServerResponse;
  /** On the monotonic clock. */
  startedAtMs: number;
}

/** Limits of callers' requests. */
export interface CallerLimits {
  maximumBodyBytes: number;
  maximumHeaderBytes: number;
  /** Time in milliseconds for a request's head. */
  headersTimeoutMs: number;
  /** Time in milliseconds for a whole request with its body. */
  requestTimeoutMs: number;
}
