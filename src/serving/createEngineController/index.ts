import { setTimeout as wait } from 'node:timers/promises';
import { isAborted } from '../../common/isAborted.js';
import { chooseAdapterToEvict } from '../../decisions/replicas/chooseAdapterToEvict/index.js';
import { OrderOutcome, type ModelOrder, type ModelReport } from '../../ports/modelOrderClient.js';
import type { AdapterGrant, GrantWait } from '../types.js';
import type { EngineController, EngineControllerOptions } from './types.js';
import { createOrderSender } from './_lib/createOrderSender.js';
import { createOrderQueue } from './_lib/createOrderQueue.js';
import { createModelSizes } from './_lib/createModelSizes.js';
import { createLoadedModels, type ModelWithAdapters } from './_lib/createLoadedModels.js';

const MAX_REPORT_LAG_MS = 500; // a report describes the engine as of some hundred milliseconds ago
const MAX_REGISTRATION_LAG_MS = 3000; // engines update it every second or two, and it lags
const REPORT_POLL_INTERVAL_MS = 250; // reading a report is billed like a probe
const UNLOAD_TIMEOUT_MS = 9000; // an engine finishes its longest stream first
const LOAD_TIMEOUT_MARGIN_MS = 4000; // concurrent loads slow each other down
const UNLOAD_ANNOUNCEMENT_MS = 350; // one round, after which no host routes to the replica
const ADAPTER_LOAD_BASE_MS = 4; // adapters of 12 to 66 MB load in 5 to 9.7 ms
const ADAPTER_LOAD_MS_PER_MB = 0.09;
// An unanswered load is ordered again; once that is accepted, a late first order is refused, as its
// count differs.
const MAX_LOAD_ATTEMPTS = 3;
const UNLIMITED_WAIT: GrantWait = { untilMs: Infinity, isWanted: () => true };

export type { EngineController } from './types.js';

/** Creates the controller that sends load and unload orders to one engine. */
export function createEngineController(options: EngineControllerOptions): EngineController {
  const { clock, log, orders, confirmLeadership, isInUse, getPauseMs } = options;
  const { waitMilliseconds = wait, isEvacuated = () => false } = options;
  let { server, pool } = options;
  /** Number of orders that the engine has accepted; undefined until a report tells it. */
  let orderCount: number | undefined;
  const loadedModels = createLoadedModels();
  const { models } = loadedModels;
  const sizes = createModelSizes(pool);
  const unloading = new Set<string>();
  /** Adapters whose load is unanswered or in progress; they count against the slots. */
  let unconfirmed = 0;
  /** Adapters, as `MODEL/ADAPTER`, that hosts found missing since the last report. */
  const missing = new Set<string>();
  const closing = new AbortController();
  /** When the load of recently ordered adapters is expected to be complete. */
  const readyAtMs = new Map<string, number>();
  let loading: string | undefined;
  let isStateUncertain = false;
  let isReplacing = false;
  let registrationAppliedAtMs = -Infinity;
  /** Whether the engine left the last request for a report unanswered. */
  let isSilent = false;
  const { enqueue, enqueueLoad } = createOrderQueue(clock);

  const findModel = (model: string) => pool.models.find(({ name }) => name === model);

  const grant = (loaded: Map<string, number>, model: string, adapter: string): AdapterGrant => {
    const nowMs = clock.monotonicMs();
    loaded.set(adapter, nowMs);
    const readyInMs = Math.max(0, (readyAtMs.get(`${model}/${adapter}`) ?? 0) - nowMs);
    return { server: server.id, readyInMs };
  };

  const countAdapters = (): number => loadedModels.countAdapters() + unconfirmed;

  const applyModels = (reported: readonly ModelWithAdapters[]): void => {
    loadedModels.replaceAll(reported, clock.monotonicMs());
    for (const model of unloading) if (!models.has(model)) unloading.delete(model);
  };
  applyModels(server.models);

  const applyReport = (report: ModelReport): void => {
    isSilent = false;
    applyModels(report.models);
    // The models of a busy engine may change at any moment, without another order.
    orderCount = report.isBusy ? undefined : report.orderCount;
    unconfirmed = report.loading.length;
    missing.clear();
  };

  const isUnusable = (): boolean => server.isLeaving || isEvacuated(server.dataCentre);
  const mayCall = (): boolean =>
    !closing.signal.aborted && !isUnusable() && getPauseMs(server.incarnation) === 0;
  const sender = createOrderSender({
    ...options,
    getServer: () => server,
    mayCall,
    signal: closing.signal,
  });
  const sendOrder = (
    action: ModelOrder['action'],
    model: string,
    adapter?: string,
  ): Promise<OrderOutcome> => sender.send({ action, model, adapter }, orderCount);

  const incrementOrderCount = (): void => {
    if (orderCount !== undefined) orderCount += 1;
  };

  /** Reads the engine's state after an unanswered order or a conflict; false if still unknown. */
  const refreshState = async (delayMs = MAX_REPORT_LAG_MS): Promise<boolean> => {
    isStateUncertain = true;
    await waitMilliseconds(delayMs);
    const isCalled = mayCall();
    const report = isCalled ? await orders.readReport(server) : undefined;
    if (report === undefined) {
      isSilent = isCalled;
      // The state is unknown, so that the next order refreshes it first.
      orderCount = undefined;
      isStateUncertain = false;
      return false;
    }
    applyReport(report);
    // An order of the previous leader may still be running.
    isStateUncertain = report.isBusy && !isReplacing;
    if (isStateUncertain) startRefresh();
    log.info(
      { server: server.id, orderCount, isBusy: report.isBusy, models: [...models.keys()] },
      'engine state refreshed',
    );
    return orderCount !== undefined;
  };

  const startRefresh = (): void => {
    isStateUncertain = true;
    void enqueue(() => refreshState());
  };

  /** Ensures that orders may be sent and that the engine's state is known. */
  const ensureReady = async (): Promise<boolean> => {
    if (!mayCall() || !(await confirmLeadership())) return false;
    return orderCount !== undefined || (await refreshState(0));
  };

  /** Frees an adapter slot; false when none is free yet. */
  const evictAdapter = async (): Promise<boolean> => {
    const candidates = [...models].flatMap(([model, adapters]) =>
      [...adapters].map(([adapter, lastRequestedAtMs]) => {
        const name = `${model}/${adapter}`;
        return { name, model, adapter, lastRequestedAtMs, isInUse: isInUse(server.id, name) };
      }),
    );
    const chosen = chooseAdapterToEvict(candidates, clock.monotonicMs());
    if (chosen === undefined) return false;
    // Counts as unloaded from here on, so that no request is routed to it.
    models.get(chosen.model)?.delete(chosen.adapter);
    const outcome = await sendOrder('unload', chosen.model, chosen.adapter);
    if (outcome === OrderOutcome.refused) {
      models.get(chosen.model)?.set(chosen.adapter, chosen.lastRequestedAtMs);
      return false;
    }
    if (outcome === OrderOutcome.held) {
      incrementOrderCount();
      return true;
    }
    // An accepted unload waits for requests that still use the adapter and occupy its slot.
    if (outcome === OrderOutcome.accepted) incrementOrderCount();
    await refreshState();
    return false;
  };

  const loadAdapter = async (model: string, adapter: string): Promise<AdapterGrant | undefined> => {
    // An earlier order is unanswered; the refresh after it is queued.
    if (isStateUncertain || !(await ensureReady())) return undefined;
    const loaded = models.get(model);
    if (loaded === undefined || unloading.has(model)) return undefined;
    if (loaded.has(adapter)) return grant(loaded, model, adapter);
    if (countAdapters() >= pool.adapterSlots && !(await evictAdapter())) return undefined;
    if (countAdapters() >= pool.adapterSlots) return undefined;
    const outcome = await sendOrder('load', model, adapter);
    if (outcome === OrderOutcome.accepted || outcome === OrderOutcome.held) {
      if (outcome === OrderOutcome.accepted) incrementOrderCount();
      const transferMs =
        ADAPTER_LOAD_BASE_MS + ADAPTER_LOAD_MS_PER_MB * (findModel(model)?.adapterMb ?? 0);
      const isLoading = outcome === OrderOutcome.accepted;
      if (isLoading)
        readyAtMs.set(`${model}/${adapter}`, clock.monotonicMs() + Math.ceil(transferMs));
      return grant(models.get(model) ?? loaded, model, adapter);
    }
    if (outcome !== OrderOutcome.refused) {
      unconfirmed += 1;
      startRefresh();
    }
    return undefined;
  };

  const fitsInMemory = (model: string): boolean =>
    sizes.computeReservedMb([...models.keys()], model) <= pool.weightsMb;

  const pollUntil = async (isDone: () => boolean, timeoutMs: number): Promise<boolean> => {
    const startedAtMs = clock.monotonicMs();
    while (clock.monotonicMs() - startedAtMs < timeoutMs) {
      await waitMilliseconds(REPORT_POLL_INTERVAL_MS);
      if (isAborted(closing.signal) || isUnusable()) return false;
      if (!mayCall()) continue;
      const report = await orders.readReport(server);
      if (report === undefined) continue;
      if (clock.monotonicMs() - sender.getLastOrderAtMs() >= MAX_REPORT_LAG_MS) applyReport(report);
      if (isDone() && !report.isBusy) return true;
    }
    return false;
  };

  const unloadModel = async (model: string): Promise<boolean> => {
    if (!(await ensureReady())) return false;
    const outcome = await sendOrder('unload', model);
    if (outcome === OrderOutcome.accepted) incrementOrderCount();
    else if (outcome === OrderOutcome.refused) return false;
    else if (outcome !== OrderOutcome.held) await refreshState();
    return pollUntil(() => !models.has(model), UNLOAD_TIMEOUT_MS);
  };

  const loadModel = async (model: string): Promise<boolean> => {
    for (let attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt += 1) {
      if (!(await ensureReady())) return false;
      if (models.has(model)) return true;
      if (!fitsInMemory(model)) return false;
      const outcome = await sendOrder('load', model);
      if (outcome === OrderOutcome.accepted) {
        incrementOrderCount();
        const spec = findModel(model);
        await pollUntil(() => models.has(model), (spec?.loadMs ?? 0) + LOAD_TIMEOUT_MARGIN_MS);
        return models.has(model);
      }
      if (outcome === OrderOutcome.held || outcome === OrderOutcome.refused)
        return outcome === OrderOutcome.held;
      await refreshState();
    }
    return false;
  };

  return {
    setServer: (next) => {
      server = next;
      const nowMs = clock.monotonicMs();
      const isLagOver =
        nowMs - Math.max(sender.getLastOrderAtMs(), registrationAppliedAtMs) >
        MAX_REGISTRATION_LAG_MS;
      // A registration may predate the last order however late it arrives; it only causes a refresh.
      if (isLagOver && !isStateUncertain && !isReplacing && !loadedModels.isEqualTo(next.models)) {
        registrationAppliedAtMs = nowMs;
        orderCount = undefined;
        loadedModels.updateModels(next.models);
      }
    },
    setPool: (next) => {
      pool = next;
      sizes.setPool(next, [...models.keys(), ...(loading === undefined ? [] : [loading])]);
    },
    getServer: () => server,
    listModels: () => [...models.keys()].filter((model) => !unloading.has(model)),
    listAdapters: loadedModels.listAdapters,
    listUnloadingModels: () => [...unloading],
    getLoadingModel: () => loading,
    computeUsedMb: () => sizes.computeReservedMb([...models.keys()], loading),
    listDelistedMb: () => sizes.listDelistedMb([...models.keys()]),
    isFree: () =>
      loading === undefined && unloading.size === 0 && !isStateUncertain && !isUnusable(),
    acquireAdapter: (model, adapter, grantWait = UNLIMITED_WAIT) => {
      if (isEvacuated(server.dataCentre)) return Promise.resolve(undefined);
      const loaded = models.get(model);
      const isLoaded = loaded?.has(adapter) === true && !missing.has(`${model}/${adapter}`);
      if (isLoaded && !unloading.has(model)) return Promise.resolve(grant(loaded, model, adapter));
      // No adapter orders while models are replaced.
      if (isStateUncertain || isReplacing || server.isLeaving) return Promise.resolve(undefined);
      // Skipped until it answers again; callers do not wait for that.
      if (isSilent) startRefresh();
      if (isSilent) return Promise.resolve(undefined);
      return enqueueLoad(`${model}/${adapter}`, grantWait, () => loadAdapter(model, adapter));
    },
    recordMissingAdapter: (name) => {
      if (clock.monotonicMs() - sender.getLastOrderAtMs() < MAX_REPORT_LAG_MS) return;
      // The host may be wrong: a slot is free only once the engine's own report shows it.
      missing.add(name);
      orderCount = undefined;
    },
    replaceModels: async (load, unload) => {
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
    close: () => {
      closing.abort();
    },
  };
}
