import type { EngineOrder } from '../../ports/engine.js';

/** An engine as placement sees it. */
export interface PlacementEngine {
  id: string;
  service: string;
  /** Receives no new replicas; its replicas are replaced on other engines. */
  leaving: boolean;
}

/** Demand for each model or adapter in tokens per second. */
export type Demand = Readonly<Record<string, number>>;

/** Target number of replicas by model. */
export type ReplicaTargets = Readonly<Record<string, number>>;

/** An order and the engine that it is for. */
export interface PlannedOrder {
  engine: string;
  order: EngineOrder;
}
