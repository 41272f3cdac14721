/** State of an engine for the planning of replicas. */
export interface EngineSnapshot {
  id: string;
  /** Models that are loaded or being loaded, without those to be unloaded. */
  models: readonly string[];
  /** Models with requests in flight. */
  busyModels: ReadonlySet<string>;
  /** Models of which the engine keeps a copy of the weights, so that it loads them much faster. */
  copies?: ReadonlySet<string>;
  /** Memory in use: models that are loaded, being loaded or being unloaded, and space for adapters. */
  usedMb: number;
  /** Sizes of its models that the configuration does not list. */
  delistedMb?: ReadonlyMap<string, number>;
  capacityMb: number;
  /** Requests in flight per slot, or tokens per memory if that is more; above 1 requests wait. */
  utilisation: number;
  /** Prompt work that waits, relative to what makes responses begin late; 0 by default. */
  backlogUtilisation?: number;
  /** Part of the requests for its models that it takes, from 0 to 1: less than 1 with a request limit. */
  acceptance: number;
  /** Milliseconds until it is warm; absent and 0 when it is. */
  coldMs?: number;
  /** Whether it can accept an order to load a model now. */
  canLoad: boolean;
}

/** A model with its size and the demand for it. */
export interface ModelDemand {
  name: string;
  weightsMb: number;
  /** Requested work per second, in tokens for example. */
  demand: number;
  /** Time that a load takes; 0 by default. */
  loadMs?: number;
}

/** A replica to load on an engine, and the replicas to unload first to make room for it. */
export interface ReplicaMove {
  engine: string;
  load: string;
  unload: readonly string[];
  /** Whether the model to load is rarely requested. */
  isRare: boolean;
}
