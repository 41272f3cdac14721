import type { EngineOrder } from '../../ports/engine.js';

/** An engine that placement may use. */
export interface PlacementEngine {
  id: string;
  service: string;
  /** Gets no new copies, and its copies are replaced elsewhere. */
  leaving: boolean;
}

/** Demand for each model or adapter in tokens a second. */
export type Demand = Readonly<Record<string, number>>;

/** Copies that each model should have. */
export type ReplicaTargets = Readonly<Record<string, number>>;

/** An order with the engine that it goes to. */
export interface PlannedOrder {
  engine: string;
  order: EngineOrder;
}
