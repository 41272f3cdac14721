import type { Clock } from '../../../ports/clock.js';

/** Counts refusals for rate in the last minute by organisation. */
export interface RefusalCounter {
  record: (organisation: string) => void;
  list: () => Record<string, number>;
}

const WINDOW_MS = 60_000;
const STEP_MS = 10_000;

/** Creates a counter over steps of ten seconds. */
export function createRefusalCounter(clock: Clock): RefusalCounter {
  const steps = new Map<number, Map<string, number>>();
  const dropOld = (step: number): void => {
    for (const old of steps.keys()) if (old <= step - WINDOW_MS / STEP_MS) steps.delete(old);
  };
  return {
    record: (organisation) => {
      const step = Math.floor(clock.monotonicMs() / STEP_MS);
      dropOld(step);
      const counts = steps.get(step) ?? new Map<string, number>();
      counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
      steps.set(step, counts);
    },
    list: () => {
      dropOld(Math.floor(clock.monotonicMs() / STEP_MS));
      const totals: Record<string, number> = {};
      for (const counts of steps.values())
        for (const [name, count] of counts) totals[name] = (totals[name] ?? 0) + count;
      return totals;
    },
  };
}
