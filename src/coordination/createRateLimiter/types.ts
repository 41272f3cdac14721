import type { LenderLevel } from '../../decisions/rate/types.js';
import type { Clock } from '../../ports/clock.js';
import type { LoanReply, LoanRequest, LoanSettlement } from '../../ports/peers.js';

/** What a rate limiter needs of its surroundings. */
export interface RateLimiterOptions {
  clock: Clock;
  /** Peers that may lend, with what they are thought to have of an organisation. */
  listLenders: (organisation: string) => LenderLevel[];
  requestLoan: (
    host: string,
    request: LoanRequest,
    timeoutMs: number,
  ) => Promise<LoanReply | undefined>;
  /** Gives back what was not used of a loan; may be lost. */
  sendSettlement: (host: string, settlement: LoanSettlement) => void;
  /** Creates an id that is unique over all hosts. */
  createId: () => string;
  wait?: (milliseconds: number) => Promise<void>;
  /** Most requests of one organisation that wait at once; 512 by default. */
  maximumWaiting?: number;
}

/** Rate and burst of one organisation. */
export interface OrganisationRate {
  name: string;
  rate: number;
  burst: number;
}

/** Tokens that a request was admitted with. */
export interface Admission {
  /** Replaces the charged tokens by the true figure; only the first call counts. */
  settle: (tokens: number) => void;
}

/** Why a request was not admitted. */
export const RateRefusal = {
  unknownOrganisation: 'unknownOrganisation',
  exceedsBurst: 'exceedsBurst',
  rateExceeded: 'rateExceeded',
} as const;
export type RateRefusal = (typeof RateRefusal)[keyof typeof RateRefusal];

/** Outcome of a request for admission. */
export type AdmissionResult =
  | { admitted: true; admission: Admission }
  | { admitted: false; reason: RateRefusal; retryAfterMs: number };

/** A request for tokens. */
export interface AdmissionRequest {
  organisation: string;
  /** Most tokens that the request can cost. */
  tokens: number;
  /** Moment on the monotonic clock until which it may wait for tokens. */
  deadlineAtMs: number;
}

/** A host's part of the fleet's rate limit. */
export interface RateLimiter {
  admit: (request: AdmissionRequest) => Promise<AdmissionResult>;
  grantLoan: (request: LoanRequest) => LoanReply;
  settleLoan: (settlement: LoanSettlement) => void;
  /** Units that peers may borrow now, by organisation. */
  getLevels: () => Record<string, number>;
  setOrganisations: (organisations: readonly OrganisationRate[]) => void;
  countSlots: () => number;
  /** Adds slots with the units that came with them. */
  addSlots: (slots: number, units: Readonly<Record<string, number>>) => void;
  /** Takes slots out with their part of each level, which is returned. */
  releaseSlots: (slots: number) => Record<string, number>;
  /** Moment on the monotonic clock until which the slots are held. */
  setLeaseExpiry: (atMs: number) => void;
}
