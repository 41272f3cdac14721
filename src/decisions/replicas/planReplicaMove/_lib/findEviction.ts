import type { EngineSnapshot, ModelDemand } from '../../types.js';
import { computeReplicaLoad, type PlanningContext } from './planningContext.js';

/** Which models may lose their last replica. */
export const LastReplicas = {
  keep: 'keep',
  /** Those that nobody requests. */
  unloadIdle: 'unloadIdle',
  /** Also those that are requested, where the loss is small. */
  unloadAny: 'unloadAny',
} as const;
export type LastReplicas = (typeof LastReplicas)[keyof typeof LastReplicas];

/** The replicas to unload from an engine, and what that costs the fleet. */
export interface Eviction {
  unload: string[];
  loss: number;
}

// Losses are fractions of the mean engine load.
const BUSY_REPLICA_LOSS = 0.3; // a replica in use is unloaded only when its longest stream has ended
const LAST_REPLICA_LOSS = 0.15; // nobody requests the model now, but it may be requested again
const LAST_REPLICA_LOSS_WITH_COPY = 0.05; // the engine loads the model again in less than a second
// In multiples of the model's own demand, which is not served until the model is loaded again.
const UNSERVED_DEMAND_LOSS = 10;

/**
 * Computes the additional load per replica after one replica of a model is unloaded from an engine.
 * Without its last replica a model cannot be served until it is loaded again.
 */
function computeLoss(context: PlanningContext, engine: EngineSnapshot, model: string): number {
  const busyLoss = engine.busyModels.has(model) ? BUSY_REPLICA_LOSS * context.meanLoad : 0;
  if ((context.replicaCounts.get(model) ?? 0) > 1)
    return (
      busyLoss +
      computeReplicaLoad(context, model, -engine.acceptance) -
      computeReplicaLoad(context, model)
    );
  const fraction =
    engine.copies?.has(model) === true ? LAST_REPLICA_LOSS_WITH_COPY : LAST_REPLICA_LOSS;
  const demand = context.models.get(model)?.demand ?? 0;
  return busyLoss + fraction * context.meanLoad + UNSERVED_DEMAND_LOSS * demand;
}

/**
 * Finds the replicas to unload from an engine so that a model fits, those with the smallest loss
 * first. Last replicas are unloaded as far as `lastReplicas` says.
 */
export function findEviction(
  context: PlanningContext,
  engine: EngineSnapshot,
  model: ModelDemand,
  lastReplicas: LastReplicas,
): Eviction | undefined {
  let freeMb = engine.capacityMb - engine.usedMb;
  const unload: string[] = [];
  let loss = 0;
  const evictable = engine.models
    .filter((name) => {
      const count = context.replicaCounts.get(name) ?? 0;
      if (count > 1 || lastReplicas === LastReplicas.unloadAny) return true;
      const isIdle = (context.models.get(name)?.demand ?? 0) === 0;
      return isIdle && lastReplicas === LastReplicas.unloadIdle;
    })
    .map((name) => ({ name, loss: computeLoss(context, engine, name) }))
    .sort((one, other) => one.loss - other.loss);
  for (const { name, loss: replicaLoss } of evictable) {
    if (freeMb >= model.weightsMb) break;
    freeMb += context.models.get(name)?.weightsMb ?? engine.delistedMb?.get(name) ?? 0;
    loss += replicaLoss;
    unload.push(name);
  }
  return freeMb >= model.weightsMb ? { unload, loss } : undefined;
}
