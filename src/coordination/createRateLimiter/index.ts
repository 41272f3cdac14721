import { setTimeout as wait } from 'node:timers/promises';
import { chargeBucket } from '../../decisions/rate/chargeBucket/index.js';
import { computeLevel } from '../../decisions/rate/computeLevel/index.js';
import {
  LOAN_DEADLINE_MS,
  MILLISECONDS_PER_SECOND,
  SLOT_COUNT,
} from '../../decisions/rate/constants/index.js';
import { computeLendableBurst, toUnits } from '../../decisions/rate/convertTokens/index.js';
import { createBucket } from '../../decisions/rate/createBucket/index.js';
import { grantLoan } from '../../decisions/rate/grantLoan/index.js';
import {
  releaseBucketSlots,
  setBucketParameters,
} from '../../decisions/rate/setBucketParameters/index.js';
import { settleCharge } from '../../decisions/rate/settleCharge/index.js';
import type { Bucket, BucketParameters } from '../../decisions/rate/types.js';
import { collectLoans, settleLoans, type Loan } from './_lib.js';
import {
  RateRefusal,
  type Admission,
  type AdmissionRequest,
  type AdmissionResult,
  type OrganisationRate,
  type RateLimiter,
  type RateLimiterOptions,
} from './types.js';

export * from './types.js';

const MIN_RETRY_DELAY_MS = 2;
const MAX_RETRY_DELAY_MS = 100;
/** Queued requests of one organisation that may borrow from peers at the same time. */
const MAX_CONCURRENT_TRIES = 8;

/** A request that waits for earlier requests of its organisation or for tokens. */
interface QueueEntry {
  request: AdmissionRequest;
  units: number;
  /** Whether a try to admit the request is in progress. */
  isActive: boolean;
  /** Earliest time of the next try, on the monotonic clock. */
  retryAtMs: number;
  resolve: (result: AdmissionResult) => void;
}

/** Token bucket and queue of one organisation. */
interface OrganisationState {
  bucket: Bucket;
  /** Requests in order of arrival. */
  queue: QueueEntry[];
}

function toBucketParameters({ rate, burst }: OrganisationRate, slots: number): BucketParameters {
  return { rate, burst: computeLendableBurst(rate, burst), slots };
}

/**
 * Computes the time in which the fleet as a whole refills the given units. Each slot refills `rate`
 * units per millisecond.
 */
function computeRefillMs(units: number, { rate }: BucketParameters): number {
  return units / (rate * SLOT_COUNT);
}

/**
 * Creates this host's share of the fleet-wide rate limiter: one token bucket per organisation, sized by
 * the slots that the host holds. Buckets count units, of which a token has UNITS_PER_TOKEN. Units that
 * a bucket lacks are borrowed from peers. Requests of one organisation are decided in order of arrival.
 */
export function createRateLimiter(options: RateLimiterOptions): RateLimiter {
  const {
    clock,
    createId,
    wait: delay = (milliseconds: number) => wait(milliseconds),
    maximumWaiting = 512,
  } = options;
  const states = new Map<string, OrganisationState>();
  let slots = 0;
  let leaseExpiresAtMs = 0;

  const setSlots = (count: number): void => {
    slots = count;
    for (const state of states.values())
      state.bucket = setBucketParameters(
        state.bucket,
        { ...state.bucket.current.parameters, slots },
        clock.monotonicMs(),
      );
  };

  /** Drops slots whose lease has expired; called before each use, as the process may have been paused. */
  const dropExpiredSlots = (): void => {
    if (slots > 0 && clock.monotonicMs() >= leaseExpiresAtMs) setSlots(0);
  };

  /** Charges the local bucket with up to the given units and returns how many it had. */
  const chargeLocalBucket = (state: OrganisationState, id: string, units: number): number => {
    dropExpiredSlots();
    const nowMs = clock.monotonicMs();
    const taken = Math.min(units, Math.max(0, computeLevel(state.bucket, nowMs)));
    if (taken > 0) state.bucket = chargeBucket(state.bucket, id, taken, nowMs);
    return taken;
  };

  const createAdmission = (
    state: OrganisationState,
    organisation: string,
    id: string,
    localUnits: number,
    loans: readonly Loan[],
  ): Admission => {
    let isSettled = false;
    return {
      settle: (tokens) => {
        if (isSettled) return;
        isSettled = true;
        const used = toUnits(tokens);
        const usedLocalUnits = settleLoans(options, organisation, { own: localUnits, loans, used });
        if (localUnits > 0) state.bucket = settleCharge(state.bucket, id, usedLocalUnits);
      },
    };
  };

  /** Tries to admit a request with local and borrowed units; returns the missing units on failure. */
  const tryAdmit = async (
    state: OrganisationState,
    organisation: string,
    units: number,
  ): Promise<Admission | number> => {
    const id = createId();
    const startedAtMs = clock.monotonicMs();
    const localUnits = chargeLocalBucket(state, id, units);
    if (localUnits === units) return createAdmission(state, organisation, id, localUnits, []);
    const { loans, missingUnits } = await collectLoans(options, organisation, units - localUnits);
    const isInTime = clock.monotonicMs() - startedAtMs <= LOAN_DEADLINE_MS;
    const admission = createAdmission(state, organisation, id, localUnits, loans);
    if (missingUnits <= 0 && isInTime) return admission;
    admission.settle(0);
    return Math.max(1, missingUnits);
  };

  /** Admits a request without loans if the local bucket covers it. */
  const tryAdmitLocally = (
    state: OrganisationState,
    { organisation }: AdmissionRequest,
    units: number,
  ): Admission | undefined => {
    dropExpiredSlots();
    if (computeLevel(state.bucket, clock.monotonicMs()) < units) return undefined;
    const id = createId();
    return createAdmission(state, organisation, id, chargeLocalBucket(state, id, units), []);
  };

  const complete = (state: OrganisationState, entry: QueueEntry, result: AdmissionResult): void => {
    state.queue = state.queue.filter((other) => other !== entry);
    entry.resolve(result);
  };

  const tryEntry = async (state: OrganisationState, entry: QueueEntry): Promise<void> => {
    const { organisation, deadlineAtMs } = entry.request;
    const result = await tryAdmit(state, organisation, entry.units);
    entry.isActive = false;
    if (typeof result !== 'number') {
      complete(state, entry, { admitted: true, admission: result });
      serveQueue(state);
      return;
    }
    const nowMs = clock.monotonicMs();
    const retryAfterMs = computeRefillMs(result, state.bucket.current.parameters);
    if (nowMs >= deadlineAtMs) {
      complete(state, entry, {
        admitted: false,
        reason: RateRefusal.rateExceeded,
        retryAfterMs,
      });
      serveQueue(state);
      return;
    }
    const retryDelayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      deadlineAtMs - nowMs,
      Math.max(MIN_RETRY_DELAY_MS, retryAfterMs),
    );
    entry.retryAtMs = nowMs + retryDelayMs;
    await delay(retryDelayMs);
    // A timer may fire slightly early; without this reset the request would not be tried again.
    entry.retryAtMs = -Infinity;
    serveQueue(state);
  };

  /** Tries queued requests in order of arrival; one that waits for tokens blocks those behind it. */
  function serveQueue(state: OrganisationState): void {
    const nowMs = clock.monotonicMs();
    let activeCount = 0;
    for (const entry of [...state.queue]) {
      if (activeCount >= MAX_CONCURRENT_TRIES || (!entry.isActive && entry.retryAtMs > nowMs))
        return;
      activeCount += 1;
      if (entry.isActive) continue;
      entry.isActive = true;
      void tryEntry(state, entry);
    }
  }

  const admit = (request: AdmissionRequest): Promise<AdmissionResult> => {
    const refuse = (reason: RateRefusal, retryAfterMs = 0): Promise<AdmissionResult> =>
      Promise.resolve({ admitted: false, reason, retryAfterMs });
    const state = states.get(request.organisation);
    if (state === undefined) return refuse(RateRefusal.unknownOrganisation);
    if (request.tokens > state.bucket.current.parameters.burst)
      return refuse(RateRefusal.exceedsBurst);
    if (state.queue.length >= maximumWaiting)
      return refuse(RateRefusal.rateExceeded, MILLISECONDS_PER_SECOND);
    const units = toUnits(request.tokens);
    const admission = state.queue.length === 0 ? tryAdmitLocally(state, request, units) : undefined;
    if (admission !== undefined) return Promise.resolve({ admitted: true, admission });
    return new Promise((resolve) => {
      state.queue.push({ request, units, isActive: false, retryAtMs: -Infinity, resolve });
      serveQueue(state);
    });
  };

  return {
    admit,
    grantLoan: ({ id, organisation, units }) => {
      dropExpiredSlots();
      const state = states.get(organisation);
      if (state === undefined) return { type: 'loanReply', id, units: 0, level: 0 };
      const nowMs = clock.monotonicMs();
      const granted = grantLoan(state.bucket, id, Math.floor(units), nowMs);
      state.bucket = granted.bucket;
      const level = computeLevel(state.bucket, nowMs);
      return { type: 'loanReply', id, units: granted.units, level };
    },
    settleLoan: ({ id, organisation, units }) => {
      const state = states.get(organisation);
      if (state !== undefined) state.bucket = settleCharge(state.bucket, id, units);
    },
    getLevels: () => {
      dropExpiredSlots();
      const nowMs = clock.monotonicMs();
      return Object.fromEntries(
        [...states].map(([name, { bucket }]) => [name, computeLevel(bucket, nowMs)]),
      );
    },
    setOrganisations: (organisations) => {
      const nowMs = clock.monotonicMs();
      const names = new Set(organisations.map(({ name }) => name));
      for (const [name, state] of states) {
        if (names.has(name)) continue;
        states.delete(name);
        const refusal = {
          admitted: false,
          reason: RateRefusal.unknownOrganisation,
          retryAfterMs: 0,
        } as const;
        for (const entry of [...state.queue]) complete(state, entry, refusal);
      }
      for (const organisation of organisations) {
        const parameters = toBucketParameters(organisation, slots);
        const state = states.get(organisation.name);
        if (state === undefined) {
          const bucket = createBucket(parameters, nowMs);
          states.set(organisation.name, { bucket, queue: [] });
        } else state.bucket = setBucketParameters(state.bucket, parameters, nowMs);
      }
    },
    countSlots: () => {
      dropExpiredSlots();
      return slots;
    },
    addSlots: (count, units) => {
      dropExpiredSlots();
      slots += count;
      const nowMs = clock.monotonicMs();
      for (const [name, state] of states) {
        const parameters = { ...state.bucket.current.parameters, slots };
        const addedUnits = units[name] ?? 0;
        state.bucket = setBucketParameters(state.bucket, parameters, nowMs, { addedUnits });
      }
    },
    releaseSlots: (count) => {
      dropExpiredSlots();
      const releasedCount = Math.min(count, slots);
      const units: Record<string, number> = {};
      for (const [name, state] of states) {
        const released = releaseBucketSlots(state.bucket, releasedCount, clock.monotonicMs());
        state.bucket = released.bucket;
        units[name] = released.units;
      }
      slots -= releasedCount;
      return units;
    },
    setLeaseExpiry: (atMs) => {
      dropExpiredSlots();
      leaseExpiresAtMs = atMs;
    },
  };
}
