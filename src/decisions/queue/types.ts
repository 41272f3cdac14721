import type { RequestClass } from '../bundle/types.js';

/** A request that is queued for a backend server. */
export interface WaitingRequest {
  id: string;
  organisation: string;
  class: RequestClass;
  enqueuedAtMs: number;
  /** Time by which the request must have started. */
  deadlineAtMs: number;
}

/**
 * Virtual service time of each organisation (weighted fair queueing): tokens served divided by its
 * rate. The organisation with the least is served next.
 */
export type VirtualServiceTimes = Readonly<Record<string, number>>;
