import type { RequestClass } from '../bundle/types.js';

/** A request that waits for a backend server. */
export interface WaitingRequest {
  id: string;
  organisation: string;
  class: RequestClass;
  enqueuedAtMs: number;
  /** Moment by which it must have started. */
  deadlineAtMs: number;
}

/** Tokens served to each organisation, divided by its rate: who has had least is next. */
export type VirtualServiceTimes = Readonly<Record<string, number>>;
