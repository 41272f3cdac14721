import type { Clock } from '../../ports/clock.js';
import { computeLocalRateShare } from '../../decisions/serving/computeLocalRateShare/index.js';
import type { ServingOrganisation } from '../../ports/serving.js';
import type { FleetView, HostAdmissions } from '../fleetMessages.js';

/** Fleet-wide token buckets of the organisations, kept by the leader from the hosts' reports. */
export interface FleetTokenBuckets {
  setOrganisations: (organisations: readonly ServingOrganisation[]) => void;
  /** Sets the hosts that do not report; what they refill locally is withheld from the buckets. */
  setUnreachableHosts: (hosts: readonly string[], hostCount: number) => void;
  /** Deducts what a host has admitted since its previous report. */
  recordAdmissions: (report: HostAdmissions) => void;
  /** Computes all levels, and the shares and reported admissions of one host. */
  computeLevels: (host: string) => Pick<FleetView, 'levels' | 'shares' | 'ownAdmitted'>;
  /** Whether an organisation has spent so much that hosts need the levels before the next view. */
  needsLevelUpdate: () => boolean;
  /** Records that the current levels were sent to all hosts. */
  markLevelsSent: () => void;
}

/** Options of the fleet's token buckets. */
export interface FleetTokenBucketsOptions {
  clock: Clock;
  /** Levels that this host knew before it became leader; other buckets start empty. */
  levels: ReadonlyMap<string, number>;
}

interface Bucket {
  level: number;
  rate: number;
  burst: number;
  /** Time of the last refill. */
  atMs: number;
  /** Recent admissions of each host, with exponential decay. */
  admitted: Map<string, number>;
  /** Share that each host sent with its first report to this leader. */
  reportedShares: Map<string, number>;
  /** Tokens spent since the levels were last sent. */
  spentSinceUpdate: number;
}

/**
 * Fraction of a burst; once it is spent, hosts send their admissions, and the leader sends the
 * levels, without a wait for the next round.
 */
export const LEVEL_UPDATE_BURST_FRACTION = 0.05; // all hosts together overspend by a few times this
const SHARE_DECAY_PER_REPORT = 0.98; // shares follow the reports of about ten seconds

/** Creates the fleet-wide token buckets. */
export function createFleetTokenBuckets(options: FleetTokenBucketsOptions): FleetTokenBuckets {
  const { clock } = options;
  const buckets = new Map<string, Bucket>();
  const reports = new Map<string, HostAdmissions>();
  let unreachableHosts: readonly string[] = [];
  let hostCount = 1;

  const computeShare = (bucket: Bucket, host: string): number => {
    const total = [...bucket.admitted.values()].reduce((sum, tokens) => sum + tokens, 0);
    return total > 0
      ? (bucket.admitted.get(host) ?? 0) / total
      : 1 / Math.max(1, bucket.admitted.size);
  };

  /** Share by which an unreachable host refills: known hosts use theirs, others split the rest. */
  const computeUnreachableShare = (bucket: Bucket, host: string): number => {
    if (bucket.admitted.has(host)) return computeShare(bucket, host);
    const unknownCount = unreachableHosts.filter((name) => !bucket.admitted.has(name)).length;
    const reportedTotal = [...bucket.reportedShares.values()].reduce(
      (sum, share) => sum + share,
      0,
    );
    return Math.max(0, 1 - reportedTotal) / Math.max(1, unknownCount);
  };

  const refill = (bucket: Bucket): void => {
    const nowMs = clock.monotonicMs();
    const remainingShare = unreachableHosts.reduce(
      (sum, host) => sum - computeLocalRateShare(hostCount, computeUnreachableShare(bucket, host)),
      1,
    );
    const added = (Math.max(0, remainingShare) * bucket.rate * (nowMs - bucket.atMs)) / 1000;
    bucket.level = Math.min(bucket.burst, bucket.level + added);
    bucket.atMs = nowMs;
  };

  return {
    setOrganisations: (organisations) => {
      for (const { name, rate, burst } of organisations) {
        const bucket = buckets.get(name);
        if (bucket === undefined) {
          const level = Math.min(burst, options.levels.get(name) ?? 0);
          buckets.set(name, {
            level,
            rate,
            burst,
            atMs: clock.monotonicMs(),
            admitted: new Map(),
            reportedShares: new Map(),
            spentSinceUpdate: 0,
          });
          continue;
        }
        refill(bucket);
        Object.assign(bucket, { rate, burst, level: Math.min(bucket.level, burst) });
      }
    },
    setUnreachableHosts: (hosts, count) => {
      for (const bucket of buckets.values()) refill(bucket);
      unreachableHosts = hosts;
      hostCount = count;
    },
    recordAdmissions: (report) => {
      const previous = reports.get(report.host);
      reports.set(report.host, report);
      const isSameIncarnation = previous?.incarnation === report.incarnation;
      for (const [name, tokens] of Object.entries(report.admitted)) {
        const bucket = buckets.get(name);
        if (bucket === undefined) continue;
        if (previous === undefined)
          bucket.reportedShares.set(report.host, report.shares?.[name] ?? 0);
        // Admissions before a host's first report here are included in the initial levels.
        const alreadyCounted = isSameIncarnation
          ? (previous.admitted[name] ?? 0)
          : previous === undefined
            ? tokens
            : 0;
        refill(bucket);
        bucket.level -= tokens - alreadyCounted;
        bucket.spentSinceUpdate += tokens - alreadyCounted;
        const recent =
          (bucket.admitted.get(report.host) ?? 0) * SHARE_DECAY_PER_REPORT +
          tokens -
          alreadyCounted;
        // What a host refunds has decayed since it was admitted.
        bucket.admitted.set(report.host, Math.max(0, recent));
      }
    },
    computeLevels: (host) => {
      const levels: Record<string, number> = {};
      const shares: Record<string, number> = {};
      for (const [name, bucket] of buckets) {
        refill(bucket);
        levels[name] = bucket.level;
        shares[name] = computeShare(bucket, host);
      }
      return { levels, shares, ownAdmitted: reports.get(host)?.admitted ?? {} };
    },
    needsLevelUpdate: () =>
      [...buckets.values()].some(
        ({ spentSinceUpdate, burst }) => spentSinceUpdate > LEVEL_UPDATE_BURST_FRACTION * burst,
      ),
    markLevelsSent: () => {
      for (const bucket of buckets.values()) bucket.spentSinceUpdate = 0;
    },
  };
}
