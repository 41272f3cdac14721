import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GuardedRequest } from './createClientGuard/types.js';

/** One HTTP request of a caller or an operator. */
export interface CallerRequest {
  id: string;
  method: string;
  path: string;
  /** Query string with its question mark, or an empty string. */
  query: string;
  incoming: IncomingMessage;
  response: ServerResponse;
  /** Reads the body within the limits on clients. */
  guarded: GuardedRequest;
  /** Arrival time on the monotonic clock. */
  startedAtMs: number;
}

/** Size limits and timeouts of callers' and operators' requests. */
export interface CallerLimits {
  maximumBodyBytes: number;
  maximumHeaderBytes: number;
  /** Timeout for receiving a request head. */
  headersTimeoutMs: number;
  /** Timeout for receiving a complete request with its body. */
  requestTimeoutMs: number;
}
