import type { Clock } from '../../ports/clock.js';
import type { ServingOrganisation } from '../../ports/serving.js';
import type { FleetReport, FleetView } from '../fleetMessages.js';

/** The fleet's buckets, as the holder of the command keeps them from the hosts' reports. */
export interface FleetBuckets {
  setOrganisations: (organisations: readonly ServingOrganisation[]) => void;
  /** Takes off what a host has admitted since its report before. */
  record: (report: FleetReport, before: FleetReport | undefined) => void;
  describe: (host: string) => Pick<FleetView, 'levels' | 'shares'>;
}

/** Options of the fleet's buckets. */
export interface FleetBucketsOptions {
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
}

const SHARE_KEEP = 0.98; // shares follow the last ten seconds of reports

/** Creates the fleet's buckets. */
export function createFleetBuckets(options: FleetBucketsOptions): FleetBuckets {
  const { clock } = options;
  const buckets = new Map<string, Bucket>();

  const refill = (bucket: Bucket): void => {
    const nowMs = clock.monotonicMs();
    const added = (bucket.rate * (nowMs - bucket.atMs)) / 1000;
    bucket.level = Math.min(bucket.burst, bucket.level + added);
    bucket.atMs = nowMs;
  };

  const computeShare = (bucket: Bucket, host: string): number => {
    const total = [...bucket.admitted.values()].reduce((sum, tokens) => sum + tokens, 0);
    return total > 0
      ? (bucket.admitted.get(host) ?? 0) / total
      : 1 / Math.max(1, bucket.admitted.size);
  };

  return {
    setOrganisations: (organisations) => {
      for (const { name, rate, burst } of organisations) {
        const bucket = buckets.get(name);
        if (bucket === undefined) {
          const level = Math.min(burst, options.levels.get(name) ?? 0);
          buckets.set(name, { level, rate, burst, atMs: clock.monotonicMs(), admitted: new Map() });
          continue;
        }
        refill(bucket);
        Object.assign(bucket, { rate, burst, level: Math.min(bucket.level, burst) });
      }
    },
    record: (report, before) => {
      const isSame = before?.incarnation === report.incarnation;
      for (const [name, tokens] of Object.entries(report.admitted)) {
        const bucket = buckets.get(name);
        if (bucket === undefined) continue;
        // What a host admitted before its first report here is in the levels that were taken over.
        const known = isSame ? (before.admitted[name] ?? 0) : before === undefined ? tokens : 0;
        refill(bucket);
        bucket.level -= tokens - known;
        const lately = (bucket.admitted.get(report.host) ?? 0) * SHARE_KEEP + tokens - known;
        bucket.admitted.set(report.host, lately);
      }
    },
    describe: (host) => {
      const levels: Record<string, number> = {};
      const shares: Record<string, number> = {};
      for (const [name, bucket] of buckets) {
        refill(bucket);
        levels[name] = bucket.level;
        shares[name] = computeShare(bucket, host);
      }
      return { levels, shares };
    },
  };
}
