import type { ModelOrder, ModelReport, OrderOutcome } from '../../../ports/modelOrderClient.js';
import type { BackendServer } from '../../../ports/serving.js';
import type { EngineControllerOptions } from '../types.js';
import {
  createLoadedModels,
  type LoadedModels,
  type ModelWithAdapters,
} from './createLoadedModels.js';
import type { OrderQueue } from './createOrderQueue.js';
import type { OrderSender } from './createOrderSender.js';

/** What the leader knows of one engine's state, from its reports, registrations and answers to orders. */
export interface EngineState {
  models: LoadedModels['models'];
  /** Models about to be unloaded; one that is no longer loaded is removed. */
  unloading: Set<string>;
  listAdapters: LoadedModels['listAdapters'];
  /** Number of adapters that may occupy a slot, with those whose load is unanswered or in progress. */
  countAdapters: () => number;
  /** Whether an order is unanswered or the engine is busy, so that a refresh of the state is due. */
  isUncertain: () => boolean;
  /** Whether the engine left the last request for a report unanswered. */
  isSilent: () => boolean;
  /** Ensures that orders may be sent and that the engine's state is known. */
  ensureReady: () => Promise<boolean>;
  /** Sends an order that expects the known number of accepted orders. */
  sendOrder: (
    action: ModelOrder['action'],
    model: string,
    adapter?: string,
  ) => Promise<OrderOutcome>;
  /** Records that the engine has accepted another order. */
  incrementOrderCount: () => void;
  /** Reads the engine's state after an unanswered order or a conflict; false if still unknown. */
  refresh: () => Promise<boolean>;
  /** Refreshes the state after the tasks that are queued already. */
  startRefresh: () => void;
  /** Records that the load of an adapter is unanswered, and refreshes the state. */
  recordUnconfirmedLoad: () => void;
  /** Applies a report unless it may predate the last order. */
  applyPolledReport: (report: ModelReport) => void;
  /** Updates the models from a registration that differs some time after the last order. */
  updateModels: (registered: readonly ModelWithAdapters[]) => void;
  /** Whether a host found an adapter, given as `MODEL/ADAPTER`, missing since the last report. */
  isMissing: (adapter: string) => boolean;
  /** Records that a host found `MODEL/ADAPTER` missing, unless that may predate the last order. */
  recordMissing: (adapter: string) => void;
}

/** Options of the engine state. */
export interface EngineStateOptions
  extends
    Pick<EngineControllerOptions, 'clock' | 'log' | 'orders' | 'confirmLeadership'>,
    Required<Pick<EngineControllerOptions, 'waitMilliseconds'>> {
  sender: OrderSender;
  enqueue: OrderQueue['enqueue'];
  getServer: () => BackendServer;
  /** Whether the engine may be sent anything: it neither leaves nor wants a pause. */
  mayCall: () => boolean;
  /** Whether models are being replaced, during which the engine is busy with the leader's own orders. */
  isReplacing: () => boolean;
}

const MAX_REPORT_LAG_MS = 500; // a report describes the engine as of some hundred milliseconds ago
const MAX_REGISTRATION_LAG_MS = 3000; // engines update it every second or two, and it lags

/** Creates the state of an engine from its registration; a report is read before the first order. */
export function createEngineState(options: EngineStateOptions): EngineState {
  const { clock, log, orders, confirmLeadership, waitMilliseconds } = options;
  const { sender, enqueue, getServer, mayCall, isReplacing } = options;
  /** Number of orders that the engine has accepted; undefined until a report tells it. */
  let orderCount: number | undefined;
  const loadedModels = createLoadedModels();
  const { models } = loadedModels;
  const unloading = new Set<string>();
  /** Adapters whose load is unanswered or in progress; they count against the slots. */
  let unconfirmed = 0;
  /** Adapters, as `MODEL/ADAPTER`, that hosts found missing since the last report. */
  const missing = new Set<string>();
  let isUncertain = false;
  let registrationAppliedAtMs = -Infinity;
  let isSilent = false;

  const applyModels = (reported: readonly ModelWithAdapters[]): void => {
    loadedModels.replaceAll(reported, clock.monotonicMs());
    for (const model of unloading) if (!models.has(model)) unloading.delete(model);
  };
  applyModels(getServer().models);

  const applyReport = (report: ModelReport): void => {
    isSilent = false;
    applyModels(report.models);
    // The models of a busy engine may change at any moment, without another order.
    orderCount = report.isBusy ? undefined : report.orderCount;
    unconfirmed = report.loading.length;
    missing.clear();
  };

  const refresh = async (delayMs = MAX_REPORT_LAG_MS): Promise<boolean> => {
    isUncertain = true;
    await waitMilliseconds(delayMs);
    const isCalled = mayCall();
    const report = isCalled ? await orders.readReport(getServer()) : undefined;
    if (report === undefined) {
      isSilent = isCalled;
      // The state is unknown, so that the next order refreshes it first.
      orderCount = undefined;
      isUncertain = false;
      return false;
    }
    applyReport(report);
    // An order of the previous leader may still be running.
    isUncertain = report.isBusy && !isReplacing();
    if (isUncertain) startRefresh();
    log.info(
      { server: getServer().id, orderCount, isBusy: report.isBusy, models: [...models.keys()] },
      'engine state refreshed',
    );
    return orderCount !== undefined;
  };

  const startRefresh = (): void => {
    isUncertain = true;
    void enqueue(() => refresh());
  };

  return {
    models,
    unloading,
    listAdapters: loadedModels.listAdapters,
    countAdapters: () => loadedModels.countAdapters() + unconfirmed,
    isUncertain: () => isUncertain,
    isSilent: () => isSilent,
    ensureReady: async () => {
      if (!mayCall() || !(await confirmLeadership())) return false;
      return orderCount !== undefined || (await refresh(0));
    },
    sendOrder: (action, model, adapter) => sender.send({ action, model, adapter }, orderCount),
    incrementOrderCount: () => {
      if (orderCount !== undefined) orderCount += 1;
    },
    refresh: () => refresh(),
    startRefresh,
    recordUnconfirmedLoad: () => {
      unconfirmed += 1;
      startRefresh();
    },
    applyPolledReport: (report) => {
      if (clock.monotonicMs() - sender.getLastOrderAtMs() >= MAX_REPORT_LAG_MS) applyReport(report);
    },
    updateModels: (registered) => {
      const nowMs = clock.monotonicMs();
      const isLagOver =
        nowMs - Math.max(sender.getLastOrderAtMs(), registrationAppliedAtMs) >
        MAX_REGISTRATION_LAG_MS;
      // A registration may predate the last order however late it arrives; it only causes a refresh.
      if (isLagOver && !isUncertain && !isReplacing() && !loadedModels.isEqualTo(registered)) {
        registrationAppliedAtMs = nowMs;
        orderCount = undefined;
        loadedModels.updateModels(registered);
      }
    },
    isMissing: (adapter) => missing.has(adapter),
    recordMissing: (adapter) => {
      if (clock.monotonicMs() - sender.getLastOrderAtMs() < MAX_REPORT_LAG_MS) return;
      // The host may be wrong: a slot is free only once the engine's own report shows it.
      missing.add(adapter);
      orderCount = undefined;
    },
  };
}
