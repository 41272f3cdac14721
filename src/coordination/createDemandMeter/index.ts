import { MILLISECONDS_PER_SECOND } from '../../decisions/rate/constants/index.js';
import type { Clock } from '../../ports/clock.js';

/** Measures tokens a second by name as an exponentially weighted mean. */
export interface DemandMeter {
  record: (name: string, tokens: number) => void;
  /** Names with a figure above the floor. */
  list: () => Record<string, number>;
}

/** Options of a demand meter. */
export interface DemandMeterOptions {
  /** Time constant of the mean in milliseconds; 10,000 by default. */
  timeConstantMs?: number;
}

const FLOOR_PER_SECOND = 0.01;

interface Figure {
  perSecond: number;
  atMs: number;
}

/** Creates a meter that has measured nothing yet. */
export function createDemandMeter(clock: Clock, options: DemandMeterOptions = {}): DemandMeter {
  const { timeConstantMs = 10_000 } = options;
  const figures = new Map<string, Figure>();
  const computeNow = ({ perSecond, atMs }: Figure, nowMs: number): number =>
    perSecond * Math.exp((atMs - nowMs) / timeConstantMs);
  return {
    record: (name, tokens) => {
      const nowMs = clock.monotonicMs();
      const figure = figures.get(name);
      const before = figure === undefined ? 0 : computeNow(figure, nowMs);
      const added = (tokens * MILLISECONDS_PER_SECOND) / timeConstantMs;
      figures.set(name, { perSecond: before + added, atMs: nowMs });
    },
    list: () => {
      const nowMs = clock.monotonicMs();
      const present: Record<string, number> = {};
      for (const [name, figure] of figures) {
        const perSecond = computeNow(figure, nowMs);
        if (perSecond < FLOOR_PER_SECOND) figures.delete(name);
        else present[name] = perSecond;
      }
      return present;
    },
  };
}
