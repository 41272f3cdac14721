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

const MIN_WAIT_MS = 2;
const MAX_WAIT_MS = 100;
/** Requests of one organisation that borrow at the same time. */
const CONCURRENT_TRIES = 8;

/** A request that waits for its turn or for tokens. */
interface Waiter {
  request: AdmissionRequest;
  units: number;
  isTrying: boolean;
  /** Moment before which another try is of no use. */
  retryAtMs: number;
  resolve: (result: AdmissionResult) => void;
}

interface OrganisationState {
  bucket: Bucket;
  /** In the order of arrival. */
  waiters: Waiter[];
}

function toShape({ rate, burst }: OrganisationRate, slots: number): BucketParameters {
  return { rate, burst: computeLendableBurst(rate, burst), slots };
}

/** Computes the milliseconds in which the whole fleet refills so many units. */
function computeRefillMs(units: number, { rate }: BucketParameters): number {
  return units / (rate * SLOT_COUNT);
}

/**
 * Creates a host's part of the fleet's rate limit: buckets over the slots that it holds, and loans from
 * peers for what they lack. Requests of one organisation are decided in the order of their arrival.
 */
export function createRateLimiter(options: RateLimiterOptions): RateLimiter {
  const {
    clock,
    createId,
    wait: waitFor = (milliseconds: number) => wait(milliseconds),
    maximumWaiting = 512,
  } = options;
  const states = new Map<string, OrganisationState>();
  let slots = 0;
  let termEndMs = 0;

  const setSlots = (count: number): void => {
    slots = count;
    for (const state of states.values())
      state.bucket = setBucketParameters(
        state.bucket,
        { ...state.bucket.current.parameters, slots },
        clock.monotonicMs(),
      );
  };

  /** Drops slots whose term is over; called before each use, since the process may have been paused. */
  const dropLapsedSlots = (): void => {
    if (slots > 0 && clock.monotonicMs() >= termEndMs) setSlots(0);
  };

  const takeOwn = (state: OrganisationState, id: string, units: number): number => {
    dropLapsedSlots();
    const nowMs = clock.monotonicMs();
    const taken = Math.min(units, Math.max(0, computeLevel(state.bucket, nowMs)));
    if (taken > 0) state.bucket = chargeBucket(state.bucket, id, taken, nowMs);
    return taken;
  };

  const createAdmission = (
    state: OrganisationState,
    organisation: string,
    id: string,
    own: number,
    loans: readonly Loan[],
  ): Admission => {
    let isSettled = false;
    return {
      settle: (tokens) => {
        if (isSettled) return;
        isSettled = true;
        const used = toUnits(tokens);
        const usedOfOwn = settleLoans(options, organisation, { own, loans, used });
        if (own > 0) state.bucket = settleCharge(state.bucket, id, usedOfOwn);
      },
    };
  };

  const tryToAdmit = async (
    state: OrganisationState,
    organisation: string,
    units: number,
  ): Promise<Admission | number> => {
    const id = createId();
    const startedAtMs = clock.monotonicMs();
    const own = takeOwn(state, id, units);
    if (own === units) return createAdmission(state, organisation, id, own, []);
    const { loans, missingUnits } = await collectLoans(options, organisation, units - own);
    const isInTime = clock.monotonicMs() - startedAtMs <= LOAN_DEADLINE_MS;
    const admission = createAdmission(state, organisation, id, own, loans);
    if (missingUnits <= 0 && isInTime) return admission;
    admission.settle(0);
    return Math.max(1, missingUnits);
  };

  /** Admits a request for which the own bucket suffices. */
  const takeWholly = (
    state: OrganisationState,
    { organisation }: AdmissionRequest,
    units: number,
  ): Admission | undefined => {
    dropLapsedSlots();
    if (computeLevel(state.bucket, clock.monotonicMs()) < units) return undefined;
    const id = createId();
    return createAdmission(state, organisation, id, takeOwn(state, id, units), []);
  };

  const finish = (state: OrganisationState, waiter: Waiter, result: AdmissionResult): void => {
    state.waiters = state.waiters.filter((other) => other !== waiter);
    waiter.resolve(result);
  };

  const tryWaiter = async (state: OrganisationState, waiter: Waiter): Promise<void> => {
    const { organisation, deadlineAtMs } = waiter.request;
    const result = await tryToAdmit(state, organisation, waiter.units);
    waiter.isTrying = false;
    if (typeof result !== 'number') {
      finish(state, waiter, { admitted: true, admission: result });
      startTries(state);
      return;
    }
    const nowMs = clock.monotonicMs();
    const retryAfterMs = computeRefillMs(result, state.bucket.current.parameters);
    if (nowMs >= deadlineAtMs) {
      finish(state, waiter, { admitted: false, reason: RateRefusal.rateExceeded, retryAfterMs });
      startTries(state);
      return;
    }
    const pauseMs = Math.min(
      MAX_WAIT_MS,
      deadlineAtMs - nowMs,
      Math.max(MIN_WAIT_MS, retryAfterMs),
    );
    waiter.retryAtMs = nowMs + pauseMs;
    await waitFor(pauseMs);
    // A timer may wake a little early; the wait is over all the same.
    waiter.retryAtMs = -Infinity;
    startTries(state);
  };

  /** Starts tries in the order of arrival; a request that is short of tokens holds up those behind it. */
  function startTries(state: OrganisationState): void {
    const nowMs = clock.monotonicMs();
    let tries = 0;
    for (const waiter of [...state.waiters]) {
      if (tries >= CONCURRENT_TRIES || (!waiter.isTrying && waiter.retryAtMs > nowMs)) return;
      tries += 1;
      if (waiter.isTrying) continue;
      waiter.isTrying = true;
      void tryWaiter(state, waiter);
    }
  }

  const admit = (request: AdmissionRequest): Promise<AdmissionResult> => {
    const refuse = (reason: RateRefusal, retryAfterMs = 0): Promise<AdmissionResult> =>
      Promise.resolve({ admitted: false, reason, retryAfterMs });
    const state = states.get(request.organisation);
    if (state === undefined) return refuse(RateRefusal.unknownOrganisation);
    if (request.tokens > state.bucket.current.parameters.burst)
      return refuse(RateRefusal.exceedsBurst);
    if (state.waiters.length >= maximumWaiting)
      return refuse(RateRefusal.rateExceeded, MILLISECONDS_PER_SECOND);
    const units = toUnits(request.tokens);
    const admission = state.waiters.length === 0 ? takeWholly(state, request, units) : undefined;
    if (admission !== undefined) return Promise.resolve({ admitted: true, admission });
    return new Promise((resolve) => {
      state.waiters.push({
        request,
        units,
        isTrying: false,
        retryAtMs: -Infinity,
        resolve,
      });
      startTries(state);
    });
  };

  return {
    admit,
    grantLoan: ({ id, organisation, units }) => {
      dropLapsedSlots();
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
      dropLapsedSlots();
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
        const gone = {
          admitted: false,
          reason: RateRefusal.unknownOrganisation,
          retryAfterMs: 0,
        } as const;
        for (const waiter of [...state.waiters]) finish(state, waiter, gone);
      }
      for (const organisation of organisations) {
        const shape = toShape(organisation, slots);
        const state = states.get(organisation.name);
        if (state === undefined) {
          const bucket = createBucket(shape, nowMs);
          states.set(organisation.name, {
            bucket,
            waiters: [],
          });
        } else state.bucket = setBucketParameters(state.bucket, shape, nowMs);
      }
    },
    countSlots: () => {
      dropLapsedSlots();
      return slots;
    },
    addSlots: (count, units) => {
      dropLapsedSlots();
      slots += count;
      const nowMs = clock.monotonicMs();
      for (const [name, state] of states) {
        const shape = { ...state.bucket.current.parameters, slots };
        const addedUnits = units[name] ?? 0;
        state.bucket = setBucketParameters(state.bucket, shape, nowMs, { addedUnits });
      }
    },
    releaseSlots: (count) => {
      dropLapsedSlots();
      const released = Math.min(count, slots);
      const units: Record<string, number> = {};
      for (const [name, state] of states) {
        const part = releaseBucketSlots(state.bucket, released, clock.monotonicMs());
        state.bucket = part.bucket;
        units[name] = part.units;
      }
      slots -= released;
      return units;
    },
    setLeaseExpiry: (atMs) => {
      dropLapsedSlots();
      termEndMs = atMs;
    },
  };
}
