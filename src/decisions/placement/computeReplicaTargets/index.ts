import { computeReplicaBytes } from '../../bundle/_lib/checkCapacity.js';
import type { Bundle, BundleModel } from '../../bundle/types.js';
import type { Demand, PlacementEngine, ReplicaTargets } from '../types.js';

/** Demand in tokens per second that one replica carries before another is worth its memory. */
const TOKENS_PER_SECOND_PER_REPLICA = 200;

interface ScalableModel {
  model: BundleModel;
  bytes: number;
  demand: number;
  replicas: number;
}

function computeModelDemand(bundle: Bundle, demand: Demand): Map<string, number> {
  const totals = new Map(bundle.models.map(({ name }) => [name, demand[name] ?? 0]));
  for (const { name, model } of bundle.adapters)
    totals.set(model, (totals.get(model) ?? 0) + (demand[name] ?? 0));
  return totals;
}

function computeSpareBytes(models: readonly ScalableModel[], memory: readonly number[]): number {
  const largest = Math.max(0, ...models.map(({ bytes }) => bytes));
  const usable = memory.reduce((sum, bytes) => sum + Math.max(0, bytes - largest), 0);
  return models.reduce((sum, { bytes, replicas }) => sum - bytes * replicas, usable);
}

function findMostLoadedModel(
  models: readonly ScalableModel[],
  spareBytes: number,
  maxReplicas: number,
): ScalableModel | undefined {
  return models
    .filter(
      ({ bytes, replicas, demand }) =>
        bytes <= spareBytes &&
        replicas < maxReplicas &&
        demand > replicas * TOKENS_PER_SECOND_PER_REPLICA,
    )
    .reduce<ScalableModel | undefined>(
      (best, item) =>
        best === undefined || item.demand / item.replicas > best.demand / best.replicas
          ? item
          : best,
      undefined,
    );
}

function computeServiceTargets(
  models: ScalableModel[],
  spareBytes: number,
  maxReplicas: number,
): ReplicaTargets {
  const byName = new Map(models.map((item) => [item.model.name, item]));
  let remainingBytes = spareBytes;
  for (;;) {
    const mostLoaded = findMostLoadedModel([...byName.values()], remainingBytes, maxReplicas);
    if (mostLoaded === undefined) break;
    byName.set(mostLoaded.model.name, { ...mostLoaded, replicas: mostLoaded.replicas + 1 });
    remainingBytes -= mostLoaded.bytes;
  }
  return Object.fromEntries([...byName].map(([name, { replicas }]) => [name, replicas]));
}

/**
 * Computes the target number of replicas of each model: the bundle's replicas, and more where
 * demand requires and memory allows, beside the room that a rolling update needs.
 */
export function computeReplicaTargets(
  bundle: Bundle,
  demand: Demand,
  engines: readonly (PlacementEngine & { memoryBytes: number })[],
): ReplicaTargets {
  const modelDemand = computeModelDemand(bundle, demand);
  return bundle.services.reduce<ReplicaTargets>((targets, { name }) => {
    const schedulable = engines.filter(({ service, leaving }) => service === name && !leaving);
    const models = bundle.models
      .filter(({ service }) => service === name)
      .map((model) => ({
        model,
        bytes: computeReplicaBytes(bundle, model.name),
        demand: modelDemand.get(model.name) ?? 0,
        replicas: model.replicas,
      }));
    const spareBytes = computeSpareBytes(
      models,
      schedulable.map(({ memoryBytes }) => memoryBytes),
    );
    return {
      ...targets,
      ...computeServiceTargets(models, spareBytes, Math.max(1, schedulable.length - 1)),
    };
  }, {});
}
