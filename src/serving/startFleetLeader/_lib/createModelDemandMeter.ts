import type { ModelDemand } from '../../../decisions/replicas/types.js';
import type { EnginePool } from '../../../ports/serving.js';

const HALF_LIFE_MS = 2500; // demand shifts between models within seconds
const MIN_DEMAND = 1; // work per second below which a model counts as not requested

/** Requested work per model, with exponential decay. */
export interface ModelDemandMeter {
  /** Adds work by `SERVICE/MODEL`. */
  record: (demand: Readonly<Record<string, number>>) => void;
  decay: (nowMs: number) => void;
  /** Lists the models of a service with the requested work per second. */
  listModels: (service: string, pool: EnginePool) => ModelDemand[];
}

/** Creates a demand meter without any demand. */
export function createModelDemandMeter(nowMs: number): ModelDemandMeter {
  const workByKey = new Map<string, number>();
  let decayedAtMs = nowMs;
  return {
    record: (demand) => {
      for (const [key, work] of Object.entries(demand))
        workByKey.set(key, (workByKey.get(key) ?? 0) + work);
    },
    decay: (atMs) => {
      const factor = 0.5 ** ((atMs - decayedAtMs) / HALF_LIFE_MS);
      decayedAtMs = atMs;
      for (const [key, work] of workByKey) workByKey.set(key, work * factor);
    },
    listModels: (service, pool) => {
      // At a steady rate the decayed sum converges to the rate times the mean lifetime.
      const meanLifetimeSeconds = HALF_LIFE_MS / 1000 / Math.LN2;
      return pool.models.map(({ name, weightsMb }) => {
        const work = (workByKey.get(`${service}/${name}`) ?? 0) / meanLifetimeSeconds;
        return { name, weightsMb, demand: work < MIN_DEMAND ? 0 : work };
      });
    },
  };
}
