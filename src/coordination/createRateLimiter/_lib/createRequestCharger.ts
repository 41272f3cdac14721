import { chargeBucket } from '../../../decisions/rate/chargeBucket/index.js';
import { computeLevel } from '../../../decisions/rate/computeLevel/index.js';
import { LOAN_DEADLINE_MS } from '../../../decisions/rate/constants/index.js';
import { toUnits } from '../../../decisions/rate/convertTokens/index.js';
import { settleCharge } from '../../../decisions/rate/settleCharge/index.js';
import type { Bucket } from '../../../decisions/rate/types.js';
import type { Admission, AdmissionRequest, RateLimiterOptions } from '../types.js';
import { collectLoans, settleLoans, type Loan } from './collectLoans.js';

/** Owner of the token bucket of one organisation; charges and settlements replace the bucket. */
export interface BucketHolder {
  bucket: Bucket;
}

/** Charges requests to the local bucket of their organisation and to those of peers. */
export interface RequestCharger {
  /** Tries to admit a request with local and borrowed units; returns the missing units on failure. */
  tryAdmit: (
    state: BucketHolder,
    organisation: string,
    units: number,
  ) => Promise<Admission | number>;
  /** Admits a request without loans if the local bucket covers it. */
  tryAdmitLocally: (
    state: BucketHolder,
    request: AdmissionRequest,
    units: number,
  ) => Admission | undefined;
}

/** Creates a charger; it calls `dropExpiredSlots` before each use of a local bucket. */
export function createRequestCharger(
  options: RateLimiterOptions,
  dropExpiredSlots: () => void,
): RequestCharger {
  const { clock, createId } = options;

  /** Charges the local bucket with up to the given units and returns how many it had. */
  const chargeLocalBucket = (state: BucketHolder, id: string, units: number): number => {
    dropExpiredSlots();
    const nowMs = clock.monotonicMs();
    const taken = Math.min(units, Math.max(0, computeLevel(state.bucket, nowMs)));
    if (taken > 0) state.bucket = chargeBucket(state.bucket, id, taken, nowMs);
    return taken;
  };

  const createAdmission = (
    state: BucketHolder,
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
        const usedLocalUnits = settleLoans(options, organisation, { localUnits, loans, used });
        if (localUnits > 0) state.bucket = settleCharge(state.bucket, id, usedLocalUnits);
      },
    };
  };

  const tryAdmit = async (
    state: BucketHolder,
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

  const tryAdmitLocally = (
    state: BucketHolder,
    { organisation }: AdmissionRequest,
    units: number,
  ): Admission | undefined => {
    dropExpiredSlots();
    if (computeLevel(state.bucket, clock.monotonicMs()) < units) return undefined;
    const id = createId();
    return createAdmission(state, organisation, id, chargeLocalBucket(state, id, units), []);
  };

  return { tryAdmit, tryAdmitLocally };
}
