import { computeBackoffMs } from '../../../decisions/leadership/computeBackoffMs/index.js';
import { computeAcceptance } from '../../../decisions/replicas/computeAcceptance/index.js';
import { planReplicaMove } from '../../../decisions/replicas/planReplicaMove/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { Log } from '../../../ports/log.js';
import type { BackendServer, EnginePool } from '../../../ports/serving.js';
import type { EngineController } from '../../createEngineController/index.js';
import type { ModelDemandMeter } from './createModelDemandMeter.js';

const LOAD_BURST_COUNT = 3; // loads that the rate limit allows beyond the sustained rate
// Margin, as the weight store counts loads at other moments than this host.
const RATE_LIMIT_FRACTION = 0.9;
const MAX_MOVES_PER_PASS = 5; // the next pass plans with the effects of these
const RATE_WINDOW_MS = 5000; // window over which the weight store counts loads

function isLoadAllowed(
  loadStartsAtMs: readonly number[],
  loadsPerSecond: number,
  nowMs: number,
): boolean {
  const recent = loadStartsAtMs.filter((atMs) => nowMs - atMs < RATE_WINDOW_MS).length;
  return (
    recent + 1 <=
    RATE_LIMIT_FRACTION * loadsPerSecond * (RATE_WINDOW_MS / 1000) + LOAD_BURST_COUNT - 1
  );
}

/** Computes how many loads may run at once: those started in one load time, and one in preparation. */
function computeMaxConcurrentLoads({ loadsPerSecond, models }: EnginePool): number {
  const longestMs = Math.max(0, ...models.map(({ loadMs }) => loadMs));
  return Math.ceil((loadsPerSecond * longestMs) / 1000) + 1;
}

const MAX_RARE_LOAD_FRACTION = 0.5; // the other engines stay free for models in demand
const FAILED_MOVE_BACKOFF = { firstMs: 1500, maximumMs: 6000 }; // an engine that crashed is deregistered by then
const UTILISATION_WEIGHT = 0.3; // averages over about a second
const DEMAND_SETTLE_MS = 2500; // twice the half-life of the demand; busy models are requested many times in it
const ORDER_MS = 300; // an order and the report that shows its effect
const UNLOAD_MS = 900; // announcement to the hosts, order, and the report that shows its effect

function addToAverage(averages: Map<string, number>, id: string, value: number): void {
  const average = averages.get(id) ?? 0;
  averages.set(id, average + UTILISATION_WEIGHT * (value - average));
}

/** Starts replica moves and estimates when they end. */
export interface ReplicaScheduler {
  /** Starts the moves of a service that are due, within the limits of the weight store. */
  startMoves: (service: string, pool: EnginePool) => void;
  /** Computes the milliseconds until the models that are being loaded are ready, by `SERVICE/MODEL`. */
  computeLoadingMs: () => Record<string, number>;
}

/** Options of the replica scheduler. */
export interface ReplicaSchedulerOptions {
  clock: Clock;
  log: Log;
  random: () => number;
  fence: number;
  demand: ModelDemandMeter;
  /** Whether requests in flight use a model on a server. */
  isInUse: (server: string, name: string) => boolean;
  /** Whether the hosts cannot connect to a server, so that its replicas serve nobody. */
  isUnreachable: (server: string) => boolean;
  /** Measures how much of an engine's slots and memory the requests in flight take. */
  measureUtilisation: (server: BackendServer, pool: EnginePool) => number;
  /** Measures the prompt work that waits at an engine, relative to what makes responses begin late. */
  measureBacklog: (server: BackendServer) => number;
  /** Requests per second that an engine takes in some time, by incarnation; Infinity without a limit. */
  getRequestLimit: (incarnation: string, inMs: number) => number;
  /** Milliseconds until an engine is warm, by incarnation; 0 by default. */
  getColdMs?: (incarnation: string) => number;
  /** Fraction of an engine's recent streams that paused for too long. */
  getSlowShare: (server: string) => number;
  /** Lists the engines of a service, each id with its controller. */
  listControllers: (service: string) => [string, EngineController][];
}

/** Creates the scheduler of replica moves. */
export function createReplicaScheduler(options: ReplicaSchedulerOptions): ReplicaScheduler {
  const { clock, log, fence, demand, isInUse, measureUtilisation, listControllers } = options;
  const { isUnreachable, getRequestLimit, getSlowShare, getColdMs = () => 0 } = options;
  let loadStartsAtMs: number[] = [];
  const readyAtMs = new Map<string, number>();
  let firstDemandAtMs = Infinity;
  /** Engines that load a rarely requested model. */
  const rareLoads = new Set<string>();
  /** Engines whose last moves failed, and until when they get no further one. */
  const failedMoves = new Map<string, { count: number; untilMs: number }>();

  /** Moving averages over a few passes, by engine. */
  const utilisations = new Map<string, number>();
  const backlogs = new Map<string, number>();

  const measureAcceptance = (
    service: string,
    { models }: EnginePool,
    controller: EngineController,
    slowShare = 0,
  ): number =>
    computeAcceptance({
      slowShare,
      // An engine that is warm again by the end of a load needs no replica elsewhere.
      limit: getRequestLimit(
        controller.getServer().incarnation,
        Math.max(0, ...models.map(({ loadMs }) => loadMs)),
      ),
      requestRate: demand.measureRequestRate(service),
      engineCount: listControllers(service).length,
    });

  const updateUtilisations = (service: string, pool: EnginePool): void => {
    for (const [id, controller] of listControllers(service)) {
      const server = controller.getServer();
      addToAverage(utilisations, id, measureUtilisation(server, pool));
      addToAverage(backlogs, id, options.measureBacklog(server));
    }
  };

  const recordMove = (engine: string, isLoaded: boolean): void => {
    if (isLoaded) {
      failedMoves.delete(engine);
      return;
    }
    const count = (failedMoves.get(engine)?.count ?? 0) + 1;
    const backoffMs = computeBackoffMs(count, options.random(), FAILED_MOVE_BACKOFF);
    failedMoves.set(engine, { count, untilMs: clock.monotonicMs() + backoffMs });
  };

  /** Starts the next replica move; false when there is none. */
  const startNextMove = (service: string, pool: EnginePool): boolean => {
    const controllers = listControllers(service);
    const loading = controllers.filter(
      ([, controller]) => controller.getLoadingModel() !== undefined,
    ).length;
    const nowMs = clock.monotonicMs();
    loadStartsAtMs = loadStartsAtMs.filter((atMs) => nowMs - atMs < RATE_WINDOW_MS);
    const mayUseStore =
      loading < computeMaxConcurrentLoads(pool) &&
      isLoadAllowed(loadStartsAtMs, pool.loadsPerSecond, nowMs);
    const models = demand.listModels(service, pool);
    const engines = controllers
      .filter(([id, controller]) => !controller.getServer().isLeaving && !isUnreachable(id))
      .map(([id, controller]) => {
        const limitAcceptance = measureAcceptance(service, pool, controller);
        const acceptance = measureAcceptance(service, pool, controller, getSlowShare(id));
        const loadingModel = controller.getLoadingModel();
        return {
          id,
          models: [
            ...controller.listModels(),
            ...(loadingModel === undefined ? [] : [loadingModel]),
          ],
          copies: new Set(controller.getServer().copies ?? []),
          busyModels: new Set(controller.listModels().filter((model) => isInUse(id, model))),
          usedMb: controller.computeUsedMb(),
          delistedMb: controller.listDelistedMb(),
          capacityMb: pool.weightsMb,
          // An engine that turns requests away is full, however few it has in flight.
          utilisation: Math.max(utilisations.get(id) ?? 0, 1 - limitAcceptance),
          backlogUtilisation: backlogs.get(id) ?? 0,
          acceptance,
          coldMs: getColdMs(controller.getServer().incarnation),
          canLoad: controller.isFree() && nowMs >= (failedMoves.get(id)?.untilMs ?? -Infinity),
        };
      });
    if (models.some(({ demand: work }) => work > 0))
      firstDemandAtMs = Math.min(firstDemandAtMs, nowMs);
    const isDemandSettled = nowMs - firstDemandAtMs >= DEMAND_SETTLE_MS;
    const mayLoadRare =
      firstDemandAtMs === Infinity || rareLoads.size < MAX_RARE_LOAD_FRACTION * engines.length;
    const move = planReplicaMove(engines, models, { mayUseStore, isDemandSettled, mayLoadRare });
    if (move === undefined) return false;
    if (move.isRare) rareLoads.add(move.engine);
    const hasCopy = engines.find(({ id }) => id === move.engine)?.copies.has(move.load) === true;
    if (!hasCopy) loadStartsAtMs.push(nowMs);
    const spec = pool.models.find(({ name }) => name === move.load);
    const loadMs = (hasCopy ? spec?.diskLoadMs : spec?.loadMs) ?? 0;
    const key = `${service}/${move.load}`;
    readyAtMs.set(key, nowMs + loadMs + ORDER_MS + (move.unload.length > 0 ? UNLOAD_MS : 0));
    const modelDemand = models.find(({ name }) => name === move.load)?.demand ?? 0;
    log.info({ ...move, fence, hasCopy, demand: Math.round(modelDemand) }, 'replica move planned');
    controllers
      .find(([id]) => id === move.engine)?.[1]
      .replaceModels(move.load, move.unload)
      .then((isLoaded) => {
        recordMove(move.engine, isLoaded);
        log.info(
          { ...move, fence, tookMs: Math.round(clock.monotonicMs() - nowMs) },
          isLoaded ? 'replica is loaded' : 'replica not loaded, see the orders sent to the engine',
        );
      })
      .catch((error: unknown) =>
        log.error({ ...move, error: String(error) }, 'replica move failed'),
      )
      .finally(() => {
        readyAtMs.delete(key);
        rareLoads.delete(move.engine);
      });
    return true;
  };

  return {
    startMoves: (service, pool) => {
      updateUtilisations(service, pool);
      for (let moves = 0; moves < MAX_MOVES_PER_PASS && startNextMove(service, pool); moves += 1);
    },
    computeLoadingMs: () => {
      const nowMs = clock.monotonicMs();
      return Object.fromEntries(
        [...readyAtMs].map(([key, atMs]) => [key, Math.max(0, Math.round(atMs - nowMs))]),
      );
    },
  };
}
