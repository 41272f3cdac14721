import type { EngineSnapshot, ModelDemand, ReplicaMove } from '../types.js';

/** Options of the plan. */
export interface PlanReplicaMoveOptions {
  /** How much of the mean engine load a move must at least relieve; 0.08 by default. */
  minimumGain?: number;
  /** How many times the loss of the copies that leave; 1.5 by default. */
  minimumGainToLossRatio?: number;
}

const RARE_PART = 0.25; // of the mean load of an engine: a rare model goes before a small relief
const IDLE_PART = 0.01;
const BUSY_PART = 0.3; // a copy in use leaves only when its longest stream has ended
const LEAST_LOAD = 1; // keeps the parts above zero before any demand

interface Plan {
  engines: readonly EngineSnapshot[];
  models: ReadonlyMap<string, ModelDemand>;
  copies: ReadonlyMap<string, number>;
  meanLoad: number;
}

function countCopies(engines: readonly EngineSnapshot[]): Map<string, number> {
  const copies = new Map<string, number>();
  for (const { models } of engines)
    for (const model of models) copies.set(model, (copies.get(model) ?? 0) + 1);
  return copies;
}

/** Work that each copy of a model bears. */
function computeCopyLoad(plan: Plan, model: string, change = 0): number {
  const copies = (plan.copies.get(model) ?? 0) + change;
  const demand = plan.models.get(model)?.demand ?? 0;
  return copies > 0 ? demand / copies : demand * 2;
}

function computeEngineLoad(plan: Plan, engine: EngineSnapshot): number {
  return engine.models.reduce((sum, model) => sum + computeCopyLoad(plan, model), 0);
}

/** What the fleet loses when one copy of a model leaves. */
function computeLoss(plan: Plan, model: string): number {
  return computeCopyLoad(plan, model, -1) - computeCopyLoad(plan, model);
}

interface Room {
  unload: string[];
  loss: number;
}

/** Finds the copies that must leave an engine for a model to fit, those that are missed least. */
function findRoom(
  plan: Plan,
  engine: EngineSnapshot,
  model: ModelDemand,
  mayDropLast: boolean,
): Room | undefined {
  let free = engine.capacityMb - engine.usedMb;
  const unload: string[] = [];
  let loss = 0;
  const leavable = engine.models
    .filter((name) => {
      const copies = plan.copies.get(name) ?? 0;
      const isIdle = (plan.models.get(name)?.demand ?? 0) === 0;
      return copies > 1 || (mayDropLast && isIdle);
    })
    .sort(
      (one, other) =>
        Number(engine.busyModels.has(one)) - Number(engine.busyModels.has(other)) ||
        computeLoss(plan, one) - computeLoss(plan, other),
    );
  for (const name of leavable) {
    if (free >= model.weightsMb) break;
    free += plan.models.get(name)?.weightsMb ?? 0;
    loss += computeLoss(plan, name) + (engine.busyModels.has(name) ? BUSY_PART * plan.meanLoad : 0);
    unload.push(name);
  }
  return free >= model.weightsMb ? { unload, loss } : undefined;
}

/** Chooses where one more copy of a model relieves the fleet most. */
function chooseMove(
  plan: Plan,
  model: ModelDemand,
  mayDropLast: boolean,
): (ReplicaMove & Room) | undefined {
  let best: (ReplicaMove & Room & { cost: number }) | undefined;
  for (const engine of plan.engines) {
    if (!engine.canLoad || engine.models.includes(model.name)) continue;
    const room = findRoom(plan, engine, model, mayDropLast);
    if (room === undefined) continue;
    // A copy that leaves takes its work along; without anything to unload a load is quicker.
    const cost =
      computeEngineLoad(plan, engine) + room.loss + 0.01 * plan.meanLoad * room.unload.length;
    if (best === undefined || cost < best.cost)
      best = { engine: engine.id, load: model.name, ...room, cost };
  }
  return best;
}

/** What the fleet gains by one more copy of a model. */
function computeGain(plan: Plan, model: ModelDemand): number {
  if ((plan.copies.get(model.name) ?? 0) > 0)
    return computeCopyLoad(plan, model.name) - computeCopyLoad(plan, model.name, 1);
  // Without a copy nothing of the demand is served, and callers of a rare model have nowhere to go.
  return 2 * model.demand + (model.demand > 0 ? RARE_PART : IDLE_PART) * plan.meanLoad;
}

/**
 * Plans the next copy to load, the one by which the fleet gains most: models that are asked for
 * and have none, and models whose copies bear most. Models that nobody asks for come last, where
 * room is left. Undefined when no move is worth its load. Load pattern: demand moves on to models
 * with one copy, or none, within seconds, while other models stay rare.
 */
export function planReplicaMove(
  engines: readonly EngineSnapshot[],
  models: readonly ModelDemand[],
  options: PlanReplicaMoveOptions = {},
): ReplicaMove | undefined {
  const { minimumGain = 0.08, minimumGainToLossRatio = 1.5 } = options;
  const total = models.reduce((sum, { demand }) => sum + demand, 0);
  const plan: Plan = {
    engines,
    models: new Map(models.map((model) => [model.name, model])),
    copies: countCopies(engines),
    meanLoad: Math.max(LEAST_LOAD, total / Math.max(1, engines.length)),
  };
  const byGain = models
    .map((model) => ({ model, gain: computeGain(plan, model) }))
    .sort((one, other) => other.gain - one.gain);
  for (const { model, gain } of byGain) {
    const isMissing = (plan.copies.get(model.name) ?? 0) === 0;
    if (!isMissing && gain < minimumGain * plan.meanLoad) continue;
    const move = chooseMove(plan, model, isMissing && model.demand > 0);
    if (move !== undefined && gain > minimumGainToLossRatio * move.loss)
      return { engine: move.engine, load: move.load, unload: move.unload };
  }
  return undefined;
}
