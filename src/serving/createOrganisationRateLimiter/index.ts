import {
  computeLocalRateShare,
  DEFAULT_HOST_COUNT,
} from '../../decisions/serving/computeLocalRateShare/index.js';
import type { Clock } from '../../ports/clock.js';
import type { ServingOrganisation } from '../../ports/serving.js';

/** Outcome of charging a request to its organisation. */
export type ChargeResult =
  | { isAdmitted: true }
  | {
      isAdmitted: false;
      retryAfterMs: number;
      /** Tokens in the bucket, and the rate in force. */
      level: number;
      rate: number;
      /** Age of the fleet's figures in milliseconds. */
      fleetAgeMs: number;
    };

/** Keeps each organisation within its rate and burst over all hosts together. */
export interface OrganisationRateLimiter {
  charge: (organisation: ServingOrganisation, tokens: number) => ChargeResult;
  /** Gives back what a request was charged that did not run. */
  refund: (organisation: string, tokens: number) => void;
  /** Tokens that this host has admitted since its start, by organisation. */
  getAdmitted: () => Map<string, number>;
  /** Parts of the fleet's admissions that this host was last told to be its own. */
  getShares: () => Map<string, number>;
  /** Whether an organisation has spent so much since `markReported` that the fleet must hear of it. */
  needsReport: (part: number) => boolean;
  markReported: () => void;
  /** Sets what is called after each admission of an organisation with a rate. */
  onAdmission: (callback: () => void) => void;
  /** Levels of the buckets that this host has followed. */
  getLevels: () => Map<string, number>;
  /** Takes the fleet's buckets as the holder of the command keeps them. */
  setFleetLevels: (fleet: FleetBucketLevels) => void;
  /** Hosts among which rates are shared while nobody keeps the fleet's buckets. */
  setHostCount: (hosts: number) => void;
}

/** The fleet's buckets. */
export interface FleetBucketLevels {
  levels: ReadonlyMap<string, number>;
  /** What this host had reported as admitted when the levels were computed. */
  reportedAdmissions: ReadonlyMap<string, number>;
  /** This host's part of what all hosts admitted lately. */
  shares: ReadonlyMap<string, number>;
}

interface Account {
  level: number;
  atMs: number;
  rate: number;
  burst: number;
  /** Tokens admitted since this host's start. */
  admitted: number;
  share: number;
  /** When those that were turned away so far will have been let in. */
  promisedAtMs: number;
  /** Tokens admitted when the fleet was told last. */
  reported: number;
}

const FLEET_FRESH_MS = 1000; // a few rounds of the leader

/**
 * Creates the rates of this host. While the holder of the command is heard each host follows one
 * bucket for the fleet; between its levels, and without it, a host refills by its own share, half of
 * it even and half as it was used. A new host begins with an empty bucket, as others may have spent the burst.
 */
export function createOrganisationRateLimiter(options: { clock: Clock }): OrganisationRateLimiter {
  const { clock } = options;
  const accounts = new Map<string, Account>();
  const startedAtMs = clock.monotonicMs();
  let fleet: FleetBucketLevels | undefined;
  let callSpent = (): void => undefined;
  let fleetAtMs = -Infinity;
  let hosts = DEFAULT_HOST_COUNT;

  const isFleetHeard = (nowMs: number): boolean => nowMs - fleetAtMs <= FLEET_FRESH_MS;

  /** Part of the burst that this host may use by itself. */
  const computeBurstPart = (account: Account, nowMs: number): number =>
    isFleetHeard(nowMs) ? 1 : computeLocalRateShare(hosts, account.share);

  const refill = (account: Account, nowMs: number): void => {
    // Between two views all hosts refill; a host that is cut off goes on so before it notices.
    const part = computeLocalRateShare(hosts, account.share);
    const added = (account.rate * part * (nowMs - account.atMs)) / 1000;
    // Hosts that don't hear each other would each spend what was left when they last did.
    const most = computeBurstPart(account, nowMs) * account.burst;
    account.level = Math.min(most, account.level + added);
    account.atMs = nowMs;
  };

  const findAccount = ({ name, rate, burst }: ServingOrganisation, nowMs: number): Account => {
    let account = accounts.get(name);
    if (account === undefined) {
      const share = fleet?.shares.get(name) ?? 1 / hosts;
      const known = fleet?.levels.get(name);
      const earned = (rate * (nowMs - startedAtMs)) / 1000 / hosts;
      const level = known ?? Math.min(burst / hosts, earned);
      account = {
        level,
        atMs: nowMs,
        rate,
        burst,
        admitted: 0,
        share,
        promisedAtMs: 0,
        reported: 0,
      };
      accounts.set(name, account);
    }
    refill(account, nowMs);
    account.rate = rate;
    account.burst = burst;
    account.level = Math.min(account.level, burst);
    return account;
  };

  return {
    charge: (organisation, tokens) => {
      if (organisation.rate <= 0) return { isAdmitted: true };
      const nowMs = clock.monotonicMs();
      const account = findAccount(organisation, nowMs);
      // A request above the whole burst waits for a full bucket, not for ever.
      const needed = Math.min(tokens, computeBurstPart(account, nowMs) * account.burst);
      if (account.level < needed) {
        const { level, rate } = account;
        // Callers that were all told the same moment would find the bucket empty again.
        const soonestMs = nowMs + (Math.max(0, -level) / rate) * 1000;
        account.promisedAtMs = Math.max(account.promisedAtMs, soonestMs) + (needed / rate) * 1000;
        const retryAfterMs = account.promisedAtMs - nowMs;
        return { isAdmitted: false, retryAfterMs, level, rate, fleetAgeMs: nowMs - fleetAtMs };
      }
      account.level -= tokens;
      account.admitted += tokens;
      callSpent();
      return { isAdmitted: true };
    },
    refund: (name, tokens) => {
      const account = accounts.get(name);
      if (account === undefined) return;
      account.level = Math.min(account.burst, account.level + tokens);
      account.admitted -= tokens;
    },
    getAdmitted: () => new Map([...accounts].map(([name, { admitted }]) => [name, admitted])),
    getShares: () => new Map([...accounts].map(([name, { share }]) => [name, share])),
    needsReport: (part) =>
      [...accounts.values()].some(
        ({ admitted, reported, burst }) => admitted - reported > part * burst,
      ),
    onAdmission: (callback) => {
      callSpent = callback;
    },
    markReported: () => {
      for (const account of accounts.values()) account.reported = account.admitted;
    },
    getLevels: () => {
      const nowMs = clock.monotonicMs();
      for (const account of accounts.values()) refill(account, nowMs);
      return new Map([...accounts].map(([name, { level }]) => [name, level]));
    },
    setFleetLevels: (next) => {
      const nowMs = clock.monotonicMs();
      fleet = next;
      for (const [name, account] of accounts) {
        refill(account, nowMs);
        const level = next.levels.get(name);
        if (level === undefined) continue;
        // What this host has admitted since its report is not in the fleet's level yet.
        account.level = level - (account.admitted - (next.reportedAdmissions.get(name) ?? 0));
        account.share = next.shares.get(name) ?? account.share;
      }
      fleetAtMs = nowMs;
    },
    setHostCount: (count) => {
      hosts = Math.max(1, count);
    },
  };
}
