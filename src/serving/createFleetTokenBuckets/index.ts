import type { Clock } from '../../ports/clock.js';
import { computeLocalRateShare } from '../../decisions/serving/computeLocalRateShare/index.js';
import type { ServingOrganisation } from '../../ports/serving.js';
import type { FleetView, HostAdmissions } from '../fleetMessages.js';

/** The fleet's buckets, as the holder of the command keeps them from the hosts' reports. */
export interface FleetTokenBuckets {
  setOrganisations: (organisations: readonly ServingOrganisation[]) => void;
  /** Leaves to hosts that are not heard what they refill by themselves. */
  setUnreachableHosts: (hosts: readonly string[], hostCount: number) => void;
  /** Takes off what a host has admitted since its report before. */
  recordAdmissions: (report: HostAdmissions) => void;
  computeLevels: (host: string) => Pick<FleetView, 'levels' | 'shares' | 'ownAdmitted'>;
  /** Whether an organisation has spent so much since the levels were told that hosts must hear of it. */
  needsLevelUpdate: () => boolean;
  markLevelsSent: () => void;
}

/** Options of the fleet's buckets. */
export interface FleetTokenBucketsOptions {
  clock: Clock;
  /** Levels that this host knew before it took the command; others start empty. */
  levels: ReadonlyMap<string, number>;
}

interface Bucket {
  level: number;
  rate: number;
  burst: number;
  atMs: number;
  /** What each host admitted lately. */
  admitted: Map<string, number>;
  /** Share that each host was told before it reported here first. */
  toldShares: Map<string, number>;
  /** Tokens spent since the levels were told. */
  untold: number;
}

/** Part of a burst that may be spent before others must hear of it. */
export const LEVEL_UPDATE_BURST_FRACTION = 0.05; // hosts together overspend by a few such parts
const SHARE_KEEP = 0.98; // shares follow the last ten seconds of reports

/** Creates the fleet's buckets. */
export function createFleetTokenBuckets(options: FleetTokenBucketsOptions): FleetTokenBuckets {
  const { clock } = options;
  const buckets = new Map<string, Bucket>();
  const reports = new Map<string, HostAdmissions>();
  let unheard: readonly string[] = [];
  let hostCount = 1;

  const computeShare = (bucket: Bucket, host: string): number => {
    const total = [...bucket.admitted.values()].reduce((sum, tokens) => sum + tokens, 0);
    return total > 0
      ? (bucket.admitted.get(host) ?? 0) / total
      : 1 / Math.max(1, bucket.admitted.size);
  };

  /** Share by which a host that is not heard refills: what the others were told leaves the rest. */
  const computeUnheardShare = (bucket: Bucket, host: string): number => {
    if (bucket.admitted.has(host)) return computeShare(bucket, host);
    const strangers = unheard.filter((name) => !bucket.admitted.has(name)).length;
    const told = [...bucket.toldShares.values()].reduce((sum, share) => sum + share, 0);
    return Math.max(0, 1 - told) / Math.max(1, strangers);
  };

  const refill = (bucket: Bucket): void => {
    const nowMs = clock.monotonicMs();
    const left = unheard.reduce(
      (sum, host) => sum - computeLocalRateShare(hostCount, computeUnheardShare(bucket, host)),
      1,
    );
    const added = (Math.max(0, left) * bucket.rate * (nowMs - bucket.atMs)) / 1000;
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
            toldShares: new Map(),
            untold: 0,
          });
          continue;
        }
        refill(bucket);
        Object.assign(bucket, { rate, burst, level: Math.min(bucket.level, burst) });
      }
    },
    setUnreachableHosts: (hosts, count) => {
      for (const bucket of buckets.values()) refill(bucket);
      unheard = hosts;
      hostCount = count;
    },
    recordAdmissions: (report) => {
      const before = reports.get(report.host);
      reports.set(report.host, report);
      const isSame = before?.incarnation === report.incarnation;
      for (const [name, tokens] of Object.entries(report.admitted)) {
        const bucket = buckets.get(name);
        if (bucket === undefined) continue;
        if (before === undefined) bucket.toldShares.set(report.host, report.shares?.[name] ?? 0);
        // What a host admitted before its first report here is in the levels that were taken over.
        const known = isSame ? (before.admitted[name] ?? 0) : before === undefined ? tokens : 0;
        refill(bucket);
        bucket.level -= tokens - known;
        bucket.untold += tokens - known;
        const lately = (bucket.admitted.get(report.host) ?? 0) * SHARE_KEEP + tokens - known;
        bucket.admitted.set(report.host, lately);
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
        ({ untold, burst }) => untold > LEVEL_UPDATE_BURST_FRACTION * burst,
      ),
    markLevelsSent: () => {
      for (const bucket of buckets.values()) bucket.untold = 0;
    },
  };
}
