import type { BackendServer } from './serving.js';

/** What a backend server says of itself in the head of a response. */
export interface ServerNotice {
  /** Whether it stops soon and wants no further requests. */
  isLeaving: boolean;
  /** Milliseconds for which it wants no requests of this host; 0 without such a time. */
  pauseMs: number;
  /**
   * Requests per second that it takes from all hosts together; Infinity without a limit, and undefined
   * where the response does not tell.
   */
  requestsPerSecond?: number;
  /** Milliseconds for which it is still cold; undefined where the response does not tell. */
  coldMs?: number;
}

/** The request to whose response a notice belongs. */
export interface NoticeSource {
  /** Empty for an order, or the request for a report. */
  requestId: string;
  /** When the request was sent, in monotonic milliseconds. */
  sentAtMs: number;
}

/** Receives what a server says of itself in its response to a request. */
export type NoticeListener = (
  server: Pick<BackendServer, 'id' | 'incarnation'>,
  notice: ServerNotice,
  source: NoticeSource,
) => void;
