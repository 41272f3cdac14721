import { planReplicaMove } from '../../../decisions/replicas/planReplicaMove/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { Log } from '../../../ports/log.js';
import type { EnginePool } from '../../../ports/serving.js';
import type { EngineController } from '../../createEngineController/index.js';
import type { DemandMeter } from './createDemandMeter.js';

const LOAD_BURST = 3; // loads that the ceiling allows beside the rate
const CEILING_PART = 0.9; // the weight store counts the loads at other moments than this host
const MOST_MOVES = 3; // moves of one plan; the next one sees what they change
const WINDOW_MS = 5000; // in which the weight store counts loads

function isLoadAllowed(spent: readonly number[], loadsPerSecond: number, nowMs: number): boolean {
  const recent = spent.filter((atMs) => nowMs - atMs < WINDOW_MS).length;
  return recent + 1 <= CEILING_PART * loadsPerSecond * (WINDOW_MS / 1000) + LOAD_BURST - 1;
}

/** Loads that the weight store can bring in the time of one load, and one that is being prepared. */
function computeLoadsAtOnce({ loadsPerSecond, models }: EnginePool): number {
  const longestMs = Math.max(0, ...models.map(({ loadMs }) => loadMs));
  return Math.ceil((loadsPerSecond * longestMs) / 1000) + 1;
}

/** What moving copies needs. */
export interface ReplicaSchedulerOptions {
  clock: Clock;
  log: Log;
  fence: number;
  demand: DemandMeter;
  isInUse: (server: string, name: string) => boolean;
  /** Lists the engines of a service with their orders. */
  listControllers: (service: string) => [string, EngineController][];
}

/** Creates what starts the moves of a service that are due, within what the weight store allows. */
export function createReplicaScheduler(
  options: ReplicaSchedulerOptions,
): (service: string, pool: EnginePool) => void {
  const { clock, log, fence, demand, isInUse, listControllers } = options;
  let loadsAtMs: number[] = [];

  /** Starts the next move of a service; false when there is none, or no load is allowed now. */
  const moveOnce = (service: string, pool: EnginePool): boolean => {
    const own = listControllers(service);
    const loading = own.filter(([, room]) => room.getLoadingModel() !== undefined).length;
    const nowMs = clock.monotonicMs();
    loadsAtMs = loadsAtMs.filter((atMs) => nowMs - atMs < WINDOW_MS);
    if (loading >= computeLoadsAtOnce(pool)) return false;
    if (!isLoadAllowed(loadsAtMs, pool.loadsPerSecond, nowMs)) return false;
    const models = demand.listModels(service, pool);
    const engines = own
      .filter(([, room]) => !room.getServer().isLeaving)
      .map(([id, room]) => {
        const coming = room.getLoadingModel();
        return {
          id,
          models: [...room.listModels(), ...(coming === undefined ? [] : [coming])],
          busyModels: new Set(room.listModels().filter((model) => isInUse(id, model))),
          usedMb: room.computeUsedMb(),
          capacityMb: pool.weightsMb,
          canLoad: room.isFree(),
        };
      });
    const move = planReplicaMove(engines, models);
    if (move === undefined) return false;
    loadsAtMs.push(nowMs);
    const asked = models.find(({ name }) => name === move.load)?.demand ?? 0;
    log.info({ ...move, fence, demand: Math.round(asked) }, 'copy planned');
    own
      .find(([id]) => id === move.engine)?.[1]
      .replaceModels(move.load, move.unload)
      .then((isDone) =>
        log.info(
          { ...move, fence, tookMs: Math.round(clock.monotonicMs() - nowMs) },
          isDone ? 'copy loaded' : 'copy not loaded',
        ),
      )
      .catch((error: unknown) => log.error({ ...move, error: String(error) }, 'copy failed'));
    return true;
  };

  return (service, pool) => {
    for (let moves = 0; moves < MOST_MOVES && moveOnce(service, pool); moves += 1);
  };
}
