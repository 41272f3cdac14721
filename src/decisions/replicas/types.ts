/** An engine as placement sees it. */
export interface EngineSnapshot {
  id: string;
  /** Models that it holds and that are not about to leave. */
  models: readonly string[];
  /** Models with requests on their way. */
  busyModels: ReadonlySet<string>;
  /** Megabytes that are taken: models that are there, coming or leaving, and room for adapters. */
  usedMb: number;
  capacityMb: number;
  /** Whether it can take an order to load now. */
  canLoad: boolean;
}

/** A model and the work that is asked of it. */
export interface ModelDemand {
  name: string;
  weightsMb: number;
  /** Work a second, such as tokens. */
  demand: number;
}

/** A copy to load, and the copies that leave to make room for it. */
export interface ReplicaMove {
  engine: string;
  load: string;
  unload: readonly string[];
}
