import type { EngineSnapshot, ModelDemand } from '../../types.js';

/** The engines and models of one planning pass, with the figures derived from them. */
export interface PlanningContext {
  engines: readonly EngineSnapshot[];
  models: ReadonlyMap<string, ModelDemand>;
  /** Number of replicas by model. */
  replicaCounts: ReadonlyMap<string, number>;
  /** Replicas by model, each counted as far as its engine accepts requests. */
  acceptingReplicas: ReadonlyMap<string, number>;
  /** Utilisation of the least used engine with the model, by model. */
  leastUtilisations: ReadonlyMap<string, number>;
  /** The same of the prompt work that waits. */
  leastBacklogs: ReadonlyMap<string, number>;
  /** Mean demand per engine. */
  meanLoad: number;
}

const MIN_MEAN_LOAD = 1; // keeps fractions of the mean load above zero while there is no demand

function countReplicas(
  engines: readonly EngineSnapshot[],
  measureReplica: (engine: EngineSnapshot) => number,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const engine of engines)
    for (const model of engine.models)
      counts.set(model, (counts.get(model) ?? 0) + measureReplica(engine));
  return counts;
}

function findLeast(
  engines: readonly EngineSnapshot[],
  readUtilisation: (engine: EngineSnapshot) => number,
): Map<string, number> {
  const least = new Map<string, number>();
  for (const engine of engines)
    for (const model of engine.models)
      least.set(model, Math.min(least.get(model) ?? Infinity, readUtilisation(engine)));
  return least;
}

/** Relates the acceptance of each engine to the greatest: where all have limits, none is to be avoided. */
function compareAcceptance(engines: readonly EngineSnapshot[]): EngineSnapshot[] {
  const greatest = Math.max(0, ...engines.map(({ acceptance }) => acceptance));
  return engines.map((engine) => ({
    ...engine,
    acceptance: greatest > 0 ? engine.acceptance / greatest : 1,
  }));
}

/** Derives the figures of a planning pass from its engines and models. */
export function createPlanningContext(
  measuredEngines: readonly EngineSnapshot[],
  models: readonly ModelDemand[],
): PlanningContext {
  const engines = compareAcceptance(measuredEngines);
  const total = models.reduce((sum, { demand }) => sum + demand, 0);
  return {
    engines,
    models: new Map(models.map((model) => [model.name, model])),
    replicaCounts: countReplicas(engines, () => 1),
    acceptingReplicas: countReplicas(engines, ({ acceptance }) => acceptance),
    leastUtilisations: findLeast(engines, ({ utilisation }) => utilisation),
    leastBacklogs: findLeast(engines, ({ backlogUtilisation = 0 }) => backlogUtilisation),
    meanLoad: Math.max(MIN_MEAN_LOAD, total / Math.max(1, engines.length)),
  };
}

/**
 * Computes the demand per replica of a model after a change of the number of its replicas, each counted
 * as far as its engine accepts requests. Without replicas it is twice the demand, and never more.
 */
export function computeReplicaLoad(context: PlanningContext, model: string, change = 0): number {
  const count = (context.acceptingReplicas.get(model) ?? 0) + change;
  const demand = context.models.get(model)?.demand ?? 0;
  return count > 0 ? Math.min(2, 1 / count) * demand : demand * 2;
}

/** Computes the demand on an engine when each model's demand is spread evenly over its replicas. */
export function computeEngineLoad(context: PlanningContext, engine: EngineSnapshot): number {
  return engine.models.reduce((sum, model) => sum + computeReplicaLoad(context, model), 0);
}

/** Computes the demand that an engine with a request limit leaves to others, if it gets the mean load. */
export function computeDeclinedLoad(context: PlanningContext, engine: EngineSnapshot): number {
  return (1 - engine.acceptance) * context.meanLoad;
}
