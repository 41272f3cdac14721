import { setTimeout as wait } from 'node:timers/promises';
import { computeLevel } from '../../decisions/rate/computeLevel/index.js';
import { MILLISECONDS_PER_SECOND, SLOT_COUNT } from '../../decisions/rate/constants/index.js';
import { computeLendableBurst, toUnits } from '../../decisions/rate/convertTokens/index.js';
import { createBucket } from '../../decisions/rate/createBucket/index.js';
import { grantLoan } from '../../decisions/rate/grantLoan/index.js';
import {
  releaseBucketSlots,
  setBucketParameters,
} from '../../decisions/rate/setBucketParameters/index.js';
import { settleCharge } from '../../decisions/rate/settleCharge/index.js';
import type { Bucket, BucketParameters } from '../../decisions/rate/types.js';
import { createAdmissionQueue, type AdmissionQueue } from './_lib/createAdmissionQueue.js';
import { createRequestCharger } from './_lib/createRequestCharger.js';
import {
  RateRefusal,
  type AdmissionRequest,
  type AdmissionResult,
  type OrganisationRate,
  type RateLimiter,
  type RateLimiterOptions,
} from './types.js';

export * from './types.js';

/** Token bucket and queue of one organisation. */
interface OrganisationState {
  bucket: Bucket;
  queue: AdmissionQueue;
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

  const charger = createRequestCharger(options, dropExpiredSlots);

  const createState = (bucket: Bucket): OrganisationState => {
    const state: OrganisationState = {
      bucket,
      queue: createAdmissionQueue({
        clock,
        delay,
        tryAdmit: ({ organisation }, units) => charger.tryAdmit(state, organisation, units),
        computeRefillMs: (units) => computeRefillMs(units, state.bucket.current.parameters),
      }),
    };
    return state;
  };

  const admit = (request: AdmissionRequest): Promise<AdmissionResult> => {
    const refuse = (reason: RateRefusal, retryAfterMs = 0): Promise<AdmissionResult> =>
      Promise.resolve({ admitted: false, reason, retryAfterMs });
    const state = states.get(request.organisation);
    if (state === undefined) return refuse(RateRefusal.unknownOrganisation);
    if (request.tokens > state.bucket.current.parameters.burst)
      return refuse(RateRefusal.exceedsBurst);
    if (state.queue.count() >= maximumWaiting)
      return refuse(RateRefusal.rateExceeded, MILLISECONDS_PER_SECOND);
    const units = toUnits(request.tokens);
    const admission =
      state.queue.count() === 0 ? charger.tryAdmitLocally(state, request, units) : undefined;
    if (admission !== undefined) return Promise.resolve({ admitted: true, admission });
    return state.queue.add(request, units);
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
        state.queue.refuseAll(RateRefusal.unknownOrganisation);
      }
      for (const organisation of organisations) {
        const parameters = toBucketParameters(organisation, slots);
        const state = states.get(organisation.name);
        if (state === undefined) {
          states.set(organisation.name, createState(createBucket(parameters, nowMs)));
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
