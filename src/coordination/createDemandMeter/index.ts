import { MILLISECONDS_PER_SECOND } from '../../decisions/rate/constants/index.js';
import type { Clock } from '../../ports/clock.js';

/** Measures demand by name in tokens a second, as an exponentially weighted moving average. */
export interface DemandMeter {
  /** Records tokens requested under a name. */
  record: (name: string, tokens: number) => void;
  /** Returns the current averages; negligible ones are removed. */
  list: () => Record<string, number>;
}

/** Options of a demand meter. */
export interface DemandMeterOptions {
  /** Time constant of the moving average; 10,000 ms by default. */
  timeConstantMs?: number;
}

const MIN_TOKENS_PER_SECOND = 0.01;

/** Moving average as of its latest record. */
interface DemandAverage {
  perSecond: number;
  atMs: number;
}

/** Creates a demand meter without records. */
export function createDemandMeter(clock: Clock, options: DemandMeterOptions = {}): DemandMeter {
  const { timeConstantMs = 10_000 } = options;
  const averages = new Map<string, DemandAverage>();
  const computeDecayedRate = ({ perSecond, atMs }: DemandAverage, nowMs: number): number =>
    perSecond * Math.exp((atMs - nowMs) / timeConstantMs);
  return {
    record: (name, tokens) => {
      const nowMs = clock.monotonicMs();
      const average = averages.get(name);
      const previous = average === undefined ? 0 : computeDecayedRate(average, nowMs);
      const added = (tokens * MILLISECONDS_PER_SECOND) / timeConstantMs;
      averages.set(name, { perSecond: previous + added, atMs: nowMs });
    },
    list: () => {
      const nowMs = clock.monotonicMs();
      const rates: Record<string, number> = {};
      for (const [name, average] of averages) {
        const perSecond = computeDecayedRate(average, nowMs);
        if (perSecond < MIN_TOKENS_PER_SECOND) averages.delete(name);
        else rates[name] = perSecond;
      }
      return rates;
    },
  };
}
