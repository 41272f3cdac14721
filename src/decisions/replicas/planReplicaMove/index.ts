import type { EngineSnapshot, ModelDemand, ReplicaMove } from '../types.js';
import { findEviction, LastReplicas, type Eviction } from './_lib/findEviction.js';
import {
  computeDeclinedLoad,
  computeEngineLoad,
  computeReplicaLoad,
  createPlanningContext,
  type PlanningContext,
} from './_lib/planningContext.js';

/** Options of planReplicaMove. */
export interface PlanReplicaMoveOptions {
  /** Smallest gain of a further replica, as a fraction of the mean engine load; 0.08 by default. */
  minimumGain?: number;
  /** Smallest ratio of the gain to the loss by the unloaded replicas; 1.5 by default. */
  minimumGainToLossRatio?: number;
  /** Whether the weight store allows another load; true by default. Copies on engines need no store. */
  mayUseStore?: boolean;
  /** Whether requests were seen for long enough to tell the demand for all models; true by default. */
  isDemandSettled?: boolean;
  /** Whether an engine may be taken for a rarely requested model; true by default. */
  mayLoadRare?: boolean;
}

// Gains are fractions of the mean engine load.
const RARE_MODEL_GAIN = 0.25; // puts a rarely requested model before a small relief of others
const IDLE_MODEL_GAIN = 0.01;
const RARE_MODEL_DEMAND = 0.25; // a model with less demand is a rarely requested one
const COPY_GAIN = 1; // fraction of the gain of a load that is saved by a copy of the weights

const DECLINED_LOAD_WEIGHT = 4; // an engine that turns requests away relieves the others least
const BUSY_UTILISATION = 0.5; // from here on a burst of a second fills an engine

/** What the choice of an engine for a model may use. */
interface MoveLimits {
  minimumGain: number;
  minimumGainToLossRatio: number;
  /** Whether other models may be unloaded. */
  mayUnload: boolean;
  lastReplicas: LastReplicas;
  mayUseStore: boolean;
  /** Whether the engine may still be cold when the model is loaded. */
  mayUseCold: boolean;
}

/** A move with the cost of the replicas that it unloads. */
type PlannedMove = Omit<ReplicaMove, 'isRare'> & Eviction;

function isWarmOnceLoaded({ coldMs = 0 }: EngineSnapshot, { loadMs = 0 }: ModelDemand): boolean {
  return coldMs <= loadMs;
}

/** Whether a warm engine has room for a model as soon as it may load again. */
function isWarmEngineExpected(
  { engines }: PlanningContext,
  model: ModelDemand,
  findRoom: (engine: EngineSnapshot) => Eviction | undefined,
): boolean {
  return engines.some(
    (engine) =>
      !engine.canLoad && isWarmOnceLoaded(engine, model) && findRoom(engine) !== undefined,
  );
}

/** Chooses the engine on which a further replica of a model costs the fleet least. */
function chooseMove(
  context: PlanningContext,
  model: ModelDemand,
  {
    minimumGain,
    minimumGainToLossRatio,
    mayUnload,
    lastReplicas,
    mayUseStore,
    mayUseCold,
  }: MoveLimits,
): PlannedMove | undefined {
  let best: (PlannedMove & { cost: number }) | undefined;
  for (const engine of context.engines) {
    if (!engine.canLoad || engine.models.includes(model.name)) continue;
    if (!mayUseCold && !isWarmOnceLoaded(engine, model)) continue;
    const gain = computeGain(context, model, engine.acceptance);
    if (gain < minimumGain) continue;
    const eviction = findEviction(context, engine, model, lastReplicas);
    if (eviction === undefined || (eviction.unload.length > 0 && !mayUnload)) continue;
    if (gain <= minimumGainToLossRatio * eviction.loss) continue;
    const hasCopy = engine.copies?.has(model.name) === true;
    if (!hasCopy && !mayUseStore) continue;
    // Unloading a replica moves its load to the others; a load without unloading is also faster.
    const cost =
      computeEngineLoad(context, engine) +
      DECLINED_LOAD_WEIGHT * computeDeclinedLoad(context, engine) +
      eviction.loss +
      0.01 * context.meanLoad * eviction.unload.length -
      (hasCopy ? COPY_GAIN * gain : 0) -
      gain;
    if (best === undefined || cost < best.cost)
      best = { engine: engine.id, load: model.name, ...eviction, cost };
  }
  return best;
}

/** Chooses which last replicas make room for a model, by how much callers miss the model. */
function chooseLastReplicas(context: PlanningContext, { name, demand }: ModelDemand): LastReplicas {
  if (demand === 0) return LastReplicas.keep;
  const leastUtilisation = context.leastUtilisations.get(name);
  if (leastUtilisation === undefined) return LastReplicas.unloadIdle;
  if (leastUtilisation >= BUSY_UTILISATION) return LastReplicas.unloadAny;
  const isBehind = (context.leastBacklogs.get(name) ?? 0) >= BUSY_UTILISATION;
  return isBehind ? LastReplicas.unloadIdle : LastReplicas.keep;
}

/**
 * Computes by how much a further replica of a model relieves the fleet, on an engine that accepts a
 * part of its requests.
 */
function computeGain(context: PlanningContext, model: ModelDemand, acceptance = 1): number {
  const { name } = model;
  if ((context.replicaCounts.get(name) ?? 0) > 0)
    return computeReplicaLoad(context, name) - computeReplicaLoad(context, name, acceptance);
  // Without a replica none of the demand is served, so that even a rarely requested model counts.
  return (
    2 * model.demand + (model.demand > 0 ? RARE_MODEL_GAIN : IDLE_MODEL_GAIN) * context.meanLoad
  );
}

/**
 * Plans the next replica to load, the one with the greatest gain for the fleet: models that are
 * requested but loaded nowhere, and models with the most demand per replica. Models that nobody
 * requests come last, where memory is free: before any demand is known, the replicas that engines
 * start with tell which models are busy. An engine with a copy of the weights is preferred. While the
 * demand is not settled, replicas are loaded for missing models only, and no last replica is
 * unloaded: a model without requests yet may be the busiest one. Returns undefined when no move is
 * worth its cost. Made for demand that shifts within seconds to models with one replica or none,
 * while other models are rarely requested: the last replica of a model that is hardly requested
 * makes room for one whose engines are all busy, as most of the memory may be taken by such models.
 * Engines with long prompts are late long before their slots are taken: where prompts wait at all
 * engines of a model, the last replica of one that nobody requests makes room for it. Without
 * `mayLoadRare` the free engines are left to models in demand: an engine carries out one load at a time,
 * so that rare models which are asked for at once would occupy all engines for seconds.
 *
 * An engine that is still cold once the model is loaded is used only for a model that is requested and
 * loaded nowhere, and only where no warm engine has room for it: while half of the engines are cold,
 * its callers would be turned away for all the cold time, and other loads can wait. Where all engines
 * are cold, as after a start of the whole system, models that nobody requests yet are loaded as well.
 */
export function planReplicaMove(
  engines: readonly EngineSnapshot[],
  models: readonly ModelDemand[],
  options: PlanReplicaMoveOptions = {},
): ReplicaMove | undefined {
  const {
    minimumGain = 0.08,
    minimumGainToLossRatio = 1.5,
    mayUseStore = true,
    isDemandSettled = true,
    mayLoadRare = true,
  } = options;
  const context = createPlanningContext(engines, models);
  const byGain = models
    .map((model) => ({ model, gain: computeGain(context, model) }))
    .sort((one, other) => other.gain - one.gain);
  for (const { model, gain } of byGain) {
    const isMissing = (context.replicaCounts.get(model.name) ?? 0) === 0;
    const leastGain = isMissing ? 0 : minimumGain * context.meanLoad;
    if (!isMissing && (!isDemandSettled || gain < leastGain)) continue;
    const isRare = model.demand < RARE_MODEL_DEMAND * context.meanLoad;
    if (isRare && !mayLoadRare) continue;
    const isRequested = model.demand > 0;
    const lastReplicas = isDemandSettled ? chooseLastReplicas(context, model) : LastReplicas.keep;
    const limits = {
      minimumGain: leastGain,
      minimumGainToLossRatio,
      mayUnload: isRequested,
      lastReplicas,
      mayUseStore,
    };
    const mayUseCold =
      isMissing &&
      (isRequested
        ? !isWarmEngineExpected(context, model, (engine) =>
            findEviction(context, engine, model, lastReplicas),
          )
        : !engines.some((engine) => isWarmOnceLoaded(engine, model)));
    const move =
      chooseMove(context, model, { ...limits, mayUseCold: false }) ??
      (mayUseCold ? chooseMove(context, model, { ...limits, mayUseCold }) : undefined);
    if (move !== undefined)
      return { engine: move.engine, load: move.load, unload: move.unload, isRare };
  }
  return undefined;
}
