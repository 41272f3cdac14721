import { chooseAdapterToEvict } from '../../../decisions/replicas/chooseAdapterToEvict/index.js';
import { OrderOutcome } from '../../../ports/modelOrderClient.js';
import type { BackendServer, EnginePool } from '../../../ports/serving.js';
import type { AdapterGrant } from '../../types.js';
import type { EngineControllerOptions } from '../types.js';
import type { EngineState } from './createEngineState.js';

/** Grants the adapters of one engine and loads them into its slots. */
export interface AdapterLoader {
  /** Grants a loaded adapter and records the request in the adapters of its model. */
  grant: (loaded: Map<string, number>, model: string, adapter: string) => AdapterGrant;
  /** Loads an adapter, evicting another one if no slot is free; undefined when that fails now. */
  load: (model: string, adapter: string) => Promise<AdapterGrant | undefined>;
}

/** Options of the adapter loader. */
export interface AdapterLoaderOptions extends Pick<EngineControllerOptions, 'clock' | 'isInUse'> {
  state: EngineState;
  getServer: () => BackendServer;
  getPool: () => EnginePool;
}

const ADAPTER_LOAD_BASE_MS = 4; // adapters of 12 to 66 MB load in 5 to 9.7 ms
const ADAPTER_LOAD_MS_PER_MB = 0.09;

/** Creates the adapter loader of an engine. */
export function createAdapterLoader(options: AdapterLoaderOptions): AdapterLoader {
  const { clock, isInUse, state, getServer, getPool } = options;
  const { models } = state;
  /** When the load of recently ordered adapters is expected to be complete. */
  const readyAtMs = new Map<string, number>();

  const grant = (loaded: Map<string, number>, model: string, adapter: string): AdapterGrant => {
    const nowMs = clock.monotonicMs();
    loaded.set(adapter, nowMs);
    const readyInMs = Math.max(0, (readyAtMs.get(`${model}/${adapter}`) ?? 0) - nowMs);
    return { server: getServer().id, readyInMs };
  };

  const hasFreeSlot = (): boolean => state.countAdapters() < getPool().adapterSlots;

  const computeTransferMs = (model: string): number => {
    const spec = getPool().models.find(({ name }) => name === model);
    return ADAPTER_LOAD_BASE_MS + ADAPTER_LOAD_MS_PER_MB * (spec?.adapterMb ?? 0);
  };

  /** Frees an adapter slot; false when none is free yet. */
  const evictAdapter = async (): Promise<boolean> => {
    const candidates = [...models].flatMap(([model, adapters]) =>
      [...adapters].map(([adapter, lastRequestedAtMs]) => {
        const name = `${model}/${adapter}`;
        return { name, model, adapter, lastRequestedAtMs, isInUse: isInUse(getServer().id, name) };
      }),
    );
    const chosen = chooseAdapterToEvict(candidates, clock.monotonicMs());
    if (chosen === undefined) return false;
    // Counts as unloaded from here on, so that no request is routed to it.
    models.get(chosen.model)?.delete(chosen.adapter);
    const outcome = await state.sendOrder('unload', chosen.model, chosen.adapter);
    if (outcome === OrderOutcome.refused) {
      models.get(chosen.model)?.set(chosen.adapter, chosen.lastRequestedAtMs);
      return false;
    }
    if (outcome === OrderOutcome.held) {
      state.incrementOrderCount();
      return true;
    }
    // An accepted unload waits for requests that still use the adapter and occupy its slot.
    if (outcome === OrderOutcome.accepted) state.incrementOrderCount();
    await state.refresh();
    return false;
  };

  return {
    grant,
    load: async (model, adapter) => {
      // An earlier order is unanswered; the refresh after it is queued.
      if (state.isUncertain() || !(await state.ensureReady())) return undefined;
      const loaded = models.get(model);
      if (loaded === undefined || state.unloading.has(model)) return undefined;
      if (loaded.has(adapter)) return grant(loaded, model, adapter);
      if (!hasFreeSlot() && !(await evictAdapter())) return undefined;
      if (!hasFreeSlot()) return undefined;
      const outcome = await state.sendOrder('load', model, adapter);
      if (outcome === OrderOutcome.accepted || outcome === OrderOutcome.held) {
        if (outcome === OrderOutcome.accepted) {
          state.incrementOrderCount();
          readyAtMs.set(
            `${model}/${adapter}`,
            clock.monotonicMs() + Math.ceil(computeTransferMs(model)),
          );
        }
        return grant(models.get(model) ?? loaded, model, adapter);
      }
      if (outcome !== OrderOutcome.refused) state.recordUnconfirmedLoad();
      return undefined;
    },
  };
}
