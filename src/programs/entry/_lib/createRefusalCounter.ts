import type { Clock } from '../../../ports/clock.js';

/** Counts requests rejected by the rate limiter in the last minute, by organisation. */
export interface RefusalCounter {
  record: (organisation: string) => void;
  list: () => Record<string, number>;
}

const WINDOW_MS = 60_000;
const INTERVAL_MS = 10_000;

/** Creates a counter whose window slides in intervals of ten seconds. */
export function createRefusalCounter(clock: Clock): RefusalCounter {
  const intervals = new Map<number, Map<string, number>>();
  const dropExpired = (current: number): void => {
    for (const interval of intervals.keys())
      if (interval <= current - WINDOW_MS / INTERVAL_MS) intervals.delete(interval);
  };
  return {
    record: (organisation) => {
      const interval = Math.floor(clock.monotonicMs() / INTERVAL_MS);
      dropExpired(interval);
      const counts = intervals.get(interval) ?? new Map<string, number>();
      counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
      intervals.set(interval, counts);
    },
    list: () => {
      dropExpired(Math.floor(clock.monotonicMs() / INTERVAL_MS));
      const totals: Record<string, number> = {};
      for (const counts of intervals.values())
        for (const [name, count] of counts) totals[name] = (totals[name] ?? 0) + count;
      return totals;
    },
  };
}
