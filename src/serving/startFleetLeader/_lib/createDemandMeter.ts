import type { ModelDemand } from '../../../decisions/replicas/types.js';
import type { EnginePool } from '../../../ports/serving.js';

const HALF_LIFE_MS = 2500; // demand moves within some seconds
const LEAST_DEMAND = 1; // work a second below which nobody is said to ask

/** Work asked of models, with older work counting less. */
export interface DemandMeter {
  record: (demand: Readonly<Record<string, number>>) => void;
  decay: (nowMs: number) => void;
  /** Lists the models of a service with the work a second that is asked of each. */
  listModels: (service: string, pool: EnginePool) => ModelDemand[];
}

/** Creates an empty demand. */
export function createDemandMeter(nowMs: number): DemandMeter {
  const works = new Map<string, number>();
  let decayedAtMs = nowMs;
  return {
    record: (demand) => {
      for (const [key, work] of Object.entries(demand))
        works.set(key, (works.get(key) ?? 0) + work);
    },
    decay: (atMs) => {
      const factor = 0.5 ** ((atMs - decayedAtMs) / HALF_LIFE_MS);
      decayedAtMs = atMs;
      for (const [key, work] of works) works.set(key, work * factor);
    },
    listModels: (service, pool) => {
      // Decayed work of a steady demand is the rate times the mean life.
      const lifeSeconds = HALF_LIFE_MS / 1000 / Math.LN2;
      return pool.models.map(({ name, weightsMb }) => {
        const work = (works.get(`${service}/${name}`) ?? 0) / lifeSeconds;
        return { name, weightsMb, demand: work < LEAST_DEMAND ? 0 : work };
      });
    },
  };
}
