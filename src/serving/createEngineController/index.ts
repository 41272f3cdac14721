import { setTimeout as wait } from 'node:timers/promises';
import type { GrantWait } from '../types.js';
import type { EngineController, EngineControllerOptions } from './types.js';
import { createAdapterLoader } from './_lib/createAdapterLoader.js';
import { createEngineState } from './_lib/createEngineState.js';
import { createModelReplacer } from './_lib/createModelReplacer.js';
import { createModelSizes } from './_lib/createModelSizes.js';
import { createOrderQueue } from './_lib/createOrderQueue.js';
import { createOrderSender } from './_lib/createOrderSender.js';

const UNLIMITED_WAIT: GrantWait = { untilMs: Infinity, isWanted: () => true };

export type { EngineController } from './types.js';

/** Creates the controller that sends load and unload orders to one engine. */
export function createEngineController(options: EngineControllerOptions): EngineController {
  const { clock, getPauseMs } = options;
  const { waitMilliseconds = wait, isEvacuated = () => false } = options;
  let { server, pool } = options;
  const getServer = () => server;
  const getPool = () => pool;
  const closing = new AbortController();
  const { signal } = closing;

  const isUnusable = (): boolean => server.isLeaving || isEvacuated(server.dataCentre);
  const mayCall = (): boolean =>
    !signal.aborted && !isUnusable() && getPauseMs(server.incarnation) === 0;

  const { enqueue, enqueueLoad } = createOrderQueue(clock);
  const sizes = createModelSizes(pool);
  const shared = { ...options, waitMilliseconds, enqueue, getServer, getPool, mayCall, signal };
  const state = createEngineState({
    ...shared,
    sender: createOrderSender(shared),
    isReplacing: () => replacer.isReplacing(),
  });
  const { models, unloading } = state;
  const adapterLoader = createAdapterLoader({ ...shared, state });
  const replacer = createModelReplacer({ ...shared, state, sizes, isUnusable });

  return {
    setServer: (next) => {
      server = next;
      state.updateModels(next.models);
    },
    setPool: (next) => {
      pool = next;
      const loading = replacer.getLoadingModel();
      sizes.setPool(next, [...models.keys(), ...(loading === undefined ? [] : [loading])]);
    },
    getServer,
    listModels: () => [...models.keys()].filter((model) => !unloading.has(model)),
    listAdapters: state.listAdapters,
    listUnloadingModels: () => [...unloading],
    getLoadingModel: replacer.getLoadingModel,
    computeUsedMb: () => sizes.computeReservedMb([...models.keys()], replacer.getLoadingModel()),
    listDelistedMb: () => sizes.listDelistedMb([...models.keys()]),
    isFree: () =>
      replacer.getLoadingModel() === undefined &&
      unloading.size === 0 &&
      !state.isUncertain() &&
      !isUnusable(),
    acquireAdapter: (model, adapter, grantWait = UNLIMITED_WAIT) => {
      if (isEvacuated(server.dataCentre)) return Promise.resolve(undefined);
      const name = `${model}/${adapter}`;
      const loaded = models.get(model);
      const isLoaded = loaded?.has(adapter) === true && !state.isMissing(name);
      if (isLoaded && !unloading.has(model))
        return Promise.resolve(adapterLoader.grant(loaded, model, adapter));
      // No adapter orders while models are replaced.
      if (state.isUncertain() || replacer.isReplacing() || server.isLeaving)
        return Promise.resolve(undefined);
      // Skipped until it answers again; callers do not wait for that.
      if (state.isSilent()) {
        state.startRefresh();
        return Promise.resolve(undefined);
      }
      return enqueueLoad(name, grantWait, () => adapterLoader.load(model, adapter));
    },
    recordMissingAdapter: state.recordMissing,
    replaceModels: replacer.replace,
    close: () => {
      closing.abort();
    },
  };
}
