import { isAborted } from '../../../common/isAborted.js';
import { OrderOutcome } from '../../../ports/modelOrderClient.js';
import type { BackendServer, EnginePool } from '../../../ports/serving.js';
import type { EngineController, EngineControllerOptions } from '../types.js';
import type { EngineState } from './createEngineState.js';
import type { ModelSizes } from './createModelSizes.js';
import type { OrderQueue } from './createOrderQueue.js';

/** Replaces the models of one engine, unloading some to make room for another. */
export interface ModelReplacer {
  /** Unloads some models, then loads one; resolves to whether that one is loaded. */
  replace: EngineController['replaceModels'];
  /** The model that a replacement is to load; undefined while there is none. */
  getLoadingModel: () => string | undefined;
  /** Whether unloads and loads of models are under way, beyond the announcement of the unloads. */
  isReplacing: () => boolean;
}

/** Options of the model replacer. */
export interface ModelReplacerOptions
  extends
    Pick<EngineControllerOptions, 'clock' | 'orders'>,
    Required<Pick<EngineControllerOptions, 'waitMilliseconds'>> {
  state: EngineState;
  sizes: ModelSizes;
  enqueue: OrderQueue['enqueue'];
  getServer: () => BackendServer;
  getPool: () => EnginePool;
  /** Whether the engine may be sent anything: it neither leaves nor wants a pause. */
  mayCall: () => boolean;
  /** Whether the engine leaves or its data centre is evacuated. */
  isUnusable: () => boolean;
  /** Ends the polls when the leadership is lost or the engine is gone. */
  signal: AbortSignal;
}

const REPORT_POLL_INTERVAL_MS = 250; // reading a report is billed like a probe
const UNLOAD_TIMEOUT_MS = 9000; // an engine finishes its longest stream first
const LOAD_TIMEOUT_MARGIN_MS = 4000; // concurrent loads slow each other down
const UNLOAD_ANNOUNCEMENT_MS = 350; // one round, after which no host routes to the replica
// An unanswered load is ordered again; once that is accepted, a late first order is refused, as its
// count differs.
const MAX_LOAD_ATTEMPTS = 3;

/** Creates the model replacer of an engine. */
export function createModelReplacer(options: ModelReplacerOptions): ModelReplacer {
  const { clock, orders, waitMilliseconds, state, sizes, enqueue, getServer, getPool } = options;
  const { mayCall, isUnusable, signal } = options;
  const { models, unloading } = state;
  let loading: string | undefined;
  let isReplacing = false;

  const fitsInMemory = (model: string): boolean =>
    sizes.computeReservedMb([...models.keys()], model) <= getPool().weightsMb;

  const pollUntil = async (isDone: () => boolean, timeoutMs: number): Promise<boolean> => {
    const startedAtMs = clock.monotonicMs();
    while (clock.monotonicMs() - startedAtMs < timeoutMs) {
      await waitMilliseconds(REPORT_POLL_INTERVAL_MS);
      if (isAborted(signal) || isUnusable()) return false;
      if (!mayCall()) continue;
      const report = await orders.readReport(getServer());
      if (report === undefined) continue;
      state.applyPolledReport(report);
      if (isDone() && !report.isBusy) return true;
    }
    return false;
  };

  const unloadModel = async (model: string): Promise<boolean> => {
    if (!(await state.ensureReady())) return false;
    const outcome = await state.sendOrder('unload', model);
    if (outcome === OrderOutcome.accepted) state.incrementOrderCount();
    else if (outcome === OrderOutcome.refused) return false;
    else if (outcome !== OrderOutcome.held) await state.refresh();
    return pollUntil(() => !models.has(model), UNLOAD_TIMEOUT_MS);
  };

  const loadModel = async (model: string): Promise<boolean> => {
    for (let attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt += 1) {
      if (!(await state.ensureReady())) return false;
      if (models.has(model)) return true;
      if (!fitsInMemory(model)) return false;
      const outcome = await state.sendOrder('load', model);
      if (outcome === OrderOutcome.accepted) {
        state.incrementOrderCount();
        const spec = getPool().models.find(({ name }) => name === model);
        await pollUntil(() => models.has(model), (spec?.loadMs ?? 0) + LOAD_TIMEOUT_MARGIN_MS);
        return models.has(model);
      }
      if (outcome === OrderOutcome.held || outcome === OrderOutcome.refused)
        return outcome === OrderOutcome.held;
      await state.refresh();
    }
    return false;
  };

  return {
    getLoadingModel: () => loading,
    isReplacing: () => isReplacing,
    replace: async (load, unload) => {
      loading = load;
      for (const model of unload) unloading.add(model);
      try {
        if (unload.length > 0) await waitMilliseconds(UNLOAD_ANNOUNCEMENT_MS);
        isReplacing = true;
        for (const model of unload) if (!(await enqueue(() => unloadModel(model)))) return false;
        return await enqueue(() => loadModel(load));
      } finally {
        loading = undefined;
        isReplacing = false;
        unloading.clear();
      }
    },
  };
}
