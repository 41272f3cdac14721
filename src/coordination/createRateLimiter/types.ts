import type { LenderLevel } from '../../decisions/rate/types.js';
import type { Clock } from '../../ports/clock.js';
import type { LoanReply, LoanRequest, LoanSettlement } from '../../ports/peers.js';

/** Dependencies and options of a rate limiter. */
export interface RateLimiterOptions {
  clock: Clock;
  /** Lists the peers that may lend, with their estimated levels for an organisation. */
  listLenders: (organisation: string) => LenderLevel[];
  /** Requests a loan from a peer; undefined when no reply came within the timeout. */
  requestLoan: (
    host: string,
    request: LoanRequest,
    timeoutMs: number,
  ) => Promise<LoanReply | undefined>;
  /** Tells a lender how much of its loan was used; the message may be lost. */
  sendSettlement: (host: string, settlement: LoanSettlement) => void;
  /** Creates an id that is unique across all hosts. */
  createId: () => string;
  /** Delays the next try; a timer by default. */
  wait?: (milliseconds: number) => Promise<void>;
  /** Maximum length of the queue of one organisation; 512 by default. */
  maximumWaiting?: number;
}

/**
 * Rate in tokens per second and burst in tokens of one organisation, over the whole fleet. A rate
 * of 0 does not lift the limit, unlike in ServingOrganisation; bundles allow only positive ones.
 */
export interface OrganisationRate {
  name: string;
  rate: number;
  burst: number;
}

/** Handle to settle the charge of an admitted request. */
export interface Admission {
  /** Replaces the charged tokens by the tokens used; only the first call has an effect. */
  settle: (tokens: number) => void;
}

/**
 * Why a request was not admitted; `rateExceeded` when tokens were missing until its deadline or
 * the queue was full.
 */
export const RateRefusal = {
  unknownOrganisation: 'unknownOrganisation',
  exceedsBurst: 'exceedsBurst',
  rateExceeded: 'rateExceeded',
} as const;
export type RateRefusal = (typeof RateRefusal)[keyof typeof RateRefusal];

/** Outcome of an admission request. */
export type AdmissionResult =
  | { admitted: true; admission: Admission }
  | { admitted: false; reason: RateRefusal; retryAfterMs: number };

/** A request to be admitted against the rate limit of its organisation. */
export interface AdmissionRequest {
  organisation: string;
  /** Maximum tokens that the request can use; charged at admission. */
  tokens: number;
  /** Time on the monotonic clock until which the request may wait for tokens. */
  deadlineAtMs: number;
}

/**
 * This host's share of the fleet-wide rate limiter of the entry program (startEntry). The slots
 * that a host holds fix its part of every rate and burst; what it lacks it borrows from peers.
 * startFleetEntry uses OrganisationRateLimiter instead.
 */
export interface RateLimiter {
  /** Admits a request, queues it until its deadline, or refuses it. */
  admit: (request: AdmissionRequest) => Promise<AdmissionResult>;
  /** Lends units of the local bucket to a peer; the reply may grant fewer than requested. */
  grantLoan: (request: LoanRequest) => LoanReply;
  /** Refunds the units of a loan that the borrower did not use. */
  settleLoan: (settlement: LoanSettlement) => void;
  /** Returns the units that peers may borrow now, by organisation. */
  getLevels: () => Record<string, number>;
  /** Replaces the organisations; queued requests of removed ones are refused. */
  setOrganisations: (organisations: readonly OrganisationRate[]) => void;
  /** Counts the slots held; 0 once their lease has expired. */
  countSlots: () => number;
  /** Adds slots, with the units by organisation that come with them. */
  addSlots: (slots: number, units: Readonly<Record<string, number>>) => void;
  /** Removes slots and returns their proportional units by organisation. */
  releaseSlots: (slots: number) => Record<string, number>;
  /** Sets the time on the monotonic clock at which the lease on the slots expires. */
  setLeaseExpiry: (atMs: number) => void;
}
