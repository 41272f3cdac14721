import type { ModelDemand } from '../../../decisions/replicas/types.js';
import type { EnginePool } from '../../../ports/serving.js';

const HALF_LIFE_MS = 1250; // demand shifts between models within seconds
const PRESENCE_HALF_LIFE_MS = 2500; // a rarely requested model is remembered for some twenty seconds
const MIN_DEMAND = 1; // work per second below which a model counts as not requested
const MEAN_LIFETIME_FACTOR = 1 / Math.LN2 / 1000; // seconds of mean lifetime per millisecond of half-life

/** Requested work per model, with exponential decay. */
export interface ModelDemandMeter {
  /** Adds work by `SERVICE/MODEL`. */
  record: (demand: Readonly<Record<string, number>>) => void;
  /** Adds requests by service. */
  recordRequests: (requests: Readonly<Record<string, number>>) => void;
  /** Measures the requests per second for the models of a service. */
  measureRequestRate: (service: string) => number;
  decay: (nowMs: number) => void;
  /** Lists the models of a service with the requested work per second. */
  listModels: (service: string, pool: EnginePool) => ModelDemand[];
}

/** A sum that decays exponentially; at a steady rate it converges to the rate times the mean lifetime. */
interface DecayingSum {
  halfLifeMs: number;
  workByKey: Map<string, number>;
}

function applyDecay({ halfLifeMs, workByKey }: DecayingSum, elapsedMs: number): void {
  const factor = 0.5 ** (elapsedMs / halfLifeMs);
  for (const [key, work] of workByKey) workByKey.set(key, work * factor);
}

function readRate({ halfLifeMs, workByKey }: DecayingSum, key: string): number {
  return (workByKey.get(key) ?? 0) / (halfLifeMs * MEAN_LIFETIME_FACTOR);
}

/**
 * Creates a demand meter without any demand. The demand follows a shift within a second or two; a model
 * that is requested now and then keeps a little demand for longer.
 */
export function createModelDemandMeter(nowMs: number): ModelDemandMeter {
  const recent: DecayingSum = { halfLifeMs: HALF_LIFE_MS, workByKey: new Map() };
  const presence: DecayingSum = { halfLifeMs: PRESENCE_HALF_LIFE_MS, workByKey: new Map() };
  const requests: DecayingSum = { halfLifeMs: PRESENCE_HALF_LIFE_MS, workByKey: new Map() };
  let decayedAtMs = nowMs;
  return {
    record: (demand) => {
      for (const [key, work] of Object.entries(demand))
        for (const { workByKey } of [recent, presence])
          workByKey.set(key, (workByKey.get(key) ?? 0) + work);
    },
    recordRequests: (added) => {
      for (const [service, count] of Object.entries(added))
        requests.workByKey.set(service, (requests.workByKey.get(service) ?? 0) + count);
    },
    measureRequestRate: (service) => readRate(requests, service),
    decay: (atMs) => {
      for (const sum of [recent, presence, requests]) applyDecay(sum, atMs - decayedAtMs);
      decayedAtMs = atMs;
    },
    listModels: (service, pool) =>
      pool.models.map(({ name, weightsMb, loadMs }) => {
        const key = `${service}/${name}`;
        const isPresent = readRate(presence, key) >= MIN_DEMAND;
        return {
          name,
          weightsMb,
          loadMs,
          demand: isPresent ? Math.max(MIN_DEMAND, readRate(recent, key)) : 0,
        };
      }),
  };
}
