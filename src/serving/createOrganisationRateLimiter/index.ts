import {
  computeLocalRateShare,
  DEFAULT_HOST_COUNT,
} from '../../decisions/serving/computeLocalRateShare/index.js';
import type { Clock } from '../../ports/clock.js';
import type { ServingOrganisation } from '../../ports/serving.js';

/** Result of charging a request to the token bucket of its organisation. */
export type ChargeResult =
  | { isAdmitted: true }
  | {
      isAdmitted: false;
      retryAfterMs: number;
      /** Tokens in the bucket as this host knows it; may be negative. */
      level: number;
      /** Rate of the organisation in tokens per second, over all hosts. */
      rate: number;
      /** Milliseconds since the leader last sent levels; Infinity before the first ones. */
      fleetAgeMs: number;
    };

/**
 * Limits each organisation to its rate and burst across all hosts of the fleet. Each host refills
 * token buckets locally and corrects them by the levels that the leader sends. Used by
 * startFleetEntry; startEntry uses RateLimiter, with slots and loans between peers.
 */
export interface OrganisationRateLimiter {
  /** Charges a request; an organisation with a rate of 0 is not limited. */
  charge: (organisation: ServingOrganisation, tokens: number) => ChargeResult;
  /** Refunds the charge of a request that did not run. */
  refund: (organisation: string, tokens: number) => void;
  /** Tokens admitted by this host since its start, by organisation. */
  getAdmitted: () => Map<string, number>;
  /** This host's fraction of the fleet's admissions as last sent by the leader, by organisation. */
  getShares: () => Map<string, number>;
  /** Whether an organisation has spent more than a fraction of its burst since `markReported`. */
  needsReport: (burstFraction: number) => boolean;
  /** Marks all admissions so far as reported to the leader. */
  markReported: () => void;
  /** Sets the callback that runs after each admission of a rate-limited organisation. */
  onAdmission: (callback: () => void) => void;
  /** Current bucket levels as this host knows them, by organisation. */
  getLevels: () => Map<string, number>;
  /** Replaces the local levels and shares by those that the leader keeps for the fleet. */
  setFleetLevels: (fleetLevels: FleetBucketLevels) => void;
  /** Sets the number of hosts that share the rates while there is no leader. */
  setHostCount: (hostCount: number) => void;
}

/** Levels of the fleet-wide token buckets, as sent by the leader to one host. */
export interface FleetBucketLevels {
  levels: ReadonlyMap<string, number>;
  /** Admissions of this host that are already deducted from the levels. */
  reportedAdmissions: ReadonlyMap<string, number>;
  /** Fraction of the recent admissions of all hosts that this host made. */
  shares: ReadonlyMap<string, number>;
}

/** Token bucket of one organisation on this host. */
interface Bucket {
  level: number;
  /** Time of the last refill in monotonic milliseconds. */
  atMs: number;
  rate: number;
  burst: number;
  /** Tokens admitted since the start of this host. */
  admitted: number;
  share: number;
  /** Latest retry time that a rejected caller was given. */
  lastRetryAtMs: number;
  /** Value of `admitted` at the last report to the leader. */
  reportedTokens: number;
}

const MAX_FLEET_LEVELS_AGE_MS = 1000; // a few rounds of reports and views

/**
 * Creates the rate limiter of this host. While views of the leader arrive, each host tracks one
 * fleet-wide bucket per organisation. Between views, and without a leader, a host refills by its
 * local share: half of the rate is split evenly between hosts, half in proportion to their recent
 * admissions. A new host starts with an empty bucket, because others may have spent the burst.
 */
export function createOrganisationRateLimiter(options: { clock: Clock }): OrganisationRateLimiter {
  const { clock } = options;
  const buckets = new Map<string, Bucket>();
  const startedAtMs = clock.monotonicMs();
  let fleetLevels: FleetBucketLevels | undefined;
  let notifyAdmission = (): void => undefined;
  let fleetLevelsAtMs = -Infinity;
  let hostCount = DEFAULT_HOST_COUNT;

  const areFleetLevelsFresh = (nowMs: number): boolean =>
    nowMs - fleetLevelsAtMs <= MAX_FLEET_LEVELS_AGE_MS;

  /** Fraction of the burst that this host may use: a local share once the fleet levels are stale. */
  const computeUsableBurstFraction = (bucket: Bucket, nowMs: number): number =>
    areFleetLevelsFresh(nowMs) ? 1 : computeLocalRateShare(hostCount, bucket.share);

  const refill = (bucket: Bucket, nowMs: number): void => {
    // All hosts refill between views, and an isolated host continues to until it notices; local
    // shares keep their sum within the rate.
    const localShare = computeLocalRateShare(hostCount, bucket.share);
    const added = (bucket.rate * localShare * (nowMs - bucket.atMs)) / 1000;
    // Isolated hosts would otherwise each spend the whole level that was left at the last view.
    const maximumLevel = computeUsableBurstFraction(bucket, nowMs) * bucket.burst;
    bucket.level = Math.min(maximumLevel, bucket.level + added);
    bucket.atMs = nowMs;
  };

  const findBucket = ({ name, rate, burst }: ServingOrganisation, nowMs: number): Bucket => {
    let bucket = buckets.get(name);
    if (bucket === undefined) {
      const share = fleetLevels?.shares.get(name) ?? 1 / hostCount;
      const fleetLevel = fleetLevels?.levels.get(name);
      const accruedTokens = (rate * (nowMs - startedAtMs)) / 1000 / hostCount;
      const level = fleetLevel ?? Math.min(burst / hostCount, accruedTokens);
      bucket = {
        level,
        atMs: nowMs,
        rate,
        burst,
        admitted: 0,
        share,
        lastRetryAtMs: 0,
        reportedTokens: 0,
      };
      buckets.set(name, bucket);
    }
    refill(bucket, nowMs);
    bucket.rate = rate;
    bucket.burst = burst;
    bucket.level = Math.min(bucket.level, burst);
    return bucket;
  };

  return {
    charge: (organisation, tokens) => {
      if (organisation.rate <= 0) return { isAdmitted: true };
      const nowMs = clock.monotonicMs();
      const bucket = findBucket(organisation, nowMs);
      // A request larger than the burst is admitted by a full bucket, or it would never run.
      const requiredLevel = Math.min(
        tokens,
        computeUsableBurstFraction(bucket, nowMs) * bucket.burst,
      );
      if (bucket.level < requiredLevel) {
        const { level, rate } = bucket;
        // Retry times are staggered: callers that retry all at once would find the bucket empty.
        const earliestRetryAtMs = nowMs + (Math.max(0, -level) / rate) * 1000;
        bucket.lastRetryAtMs =
          Math.max(bucket.lastRetryAtMs, earliestRetryAtMs) + (requiredLevel / rate) * 1000;
        const retryAfterMs = bucket.lastRetryAtMs - nowMs;
        return {
          isAdmitted: false,
          retryAfterMs,
          level,
          rate,
          fleetAgeMs: nowMs - fleetLevelsAtMs,
        };
      }
      bucket.level -= tokens;
      bucket.admitted += tokens;
      notifyAdmission();
      return { isAdmitted: true };
    },
    refund: (name, tokens) => {
      const bucket = buckets.get(name);
      if (bucket === undefined) return;
      bucket.level = Math.min(bucket.burst, bucket.level + tokens);
      bucket.admitted -= tokens;
      // Retry times that were given since the charge count on its tokens to be refilled first.
      if (bucket.rate > 0) bucket.lastRetryAtMs -= (tokens / bucket.rate) * 1000;
    },
    getAdmitted: () => new Map([...buckets].map(([name, { admitted }]) => [name, admitted])),
    getShares: () => new Map([...buckets].map(([name, { share }]) => [name, share])),
    needsReport: (burstFraction) =>
      [...buckets.values()].some(
        ({ admitted, reportedTokens, burst }) => admitted - reportedTokens > burstFraction * burst,
      ),
    onAdmission: (callback) => {
      notifyAdmission = callback;
    },
    markReported: () => {
      for (const bucket of buckets.values()) bucket.reportedTokens = bucket.admitted;
    },
    getLevels: () => {
      const nowMs = clock.monotonicMs();
      for (const bucket of buckets.values()) refill(bucket, nowMs);
      return new Map([...buckets].map(([name, { level }]) => [name, level]));
    },
    setFleetLevels: (next) => {
      const nowMs = clock.monotonicMs();
      fleetLevels = next;
      for (const [name, bucket] of buckets) {
        refill(bucket, nowMs);
        const level = next.levels.get(name);
        if (level === undefined) continue;
        // Admissions since the last report are not deducted from the fleet-wide level yet.
        bucket.level = level - (bucket.admitted - (next.reportedAdmissions.get(name) ?? 0));
        bucket.share = next.shares.get(name) ?? bucket.share;
      }
      fleetLevelsAtMs = nowMs;
    },
    setHostCount: (count) => {
      hostCount = Math.max(1, count);
    },
  };
}
