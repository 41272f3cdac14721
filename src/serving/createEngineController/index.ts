import { setTimeout as wait } from 'node:timers/promises';
import { chooseAdapterToEvict } from '../../decisions/replicas/chooseAdapterToEvict/index.js';
import { OrderOutcome, type ModelOrder, type ModelReport } from '../../ports/modelOrderClient.js';
import type { AdapterGrant } from '../types.js';
import type { EngineController, EngineControllerOptions } from './types.js';
import {
  computeReservedMb,
  createLoadedModels,
  type ModelWithAdapters,
} from './_lib/createLoadedModels.js';

const LOOK_AGAIN_MS = 500; // a report is some hundred milliseconds old
const ENTRY_NEWER_MS = 3000; // engines write their entry every second or two, and it lags
const POLL_MS = 250; // reports are paid as probes
const UNLOAD_MOST_MS = 9000; // the longest stream that an engine finishes first
const LOAD_SLACK_MS = 4000; // a load is slower while others run
const ANNOUNCE_MS = 350; // one round of the fleet's figures, after which no host sends to the copy
const ADAPTER_BASE_MS = 4; // an adapter takes 5 to 9.7 ms for 12 to 66 MB
const ADAPTER_MS_PER_MB = 0.09;
const LOAD_TRIES = 3; // an order without an answer is sent again, so that the first can't count later

export type { EngineController } from './types.js';

/** Creates the orders of one engine. */
export function createEngineController(options: EngineControllerOptions): EngineController {
  const { clock, log, metrics, orders, holder, fence, confirmLeadership, isInUse } = options;
  const { waitMilliseconds = wait } = options;
  let { server, pool } = options;
  /** Orders that the engine has accepted; unknown until it has reported. */
  let orderCount: number | undefined;
  const holdings = createLoadedModels();
  const { models } = holdings;
  const leaving = new Set<string>();
  /** Adapters whose order got no answer: they may come, and take a place until that is known. */
  let doubtful = 0;
  /** Adapters, as `MODEL/ADAPTER`, that hosts found missing since the engine was looked at. */
  const missing = new Set<string>();
  let isClosed = false;
  /** When adapters that were just ordered will be there. */
  const readyAtMs = new Map<string, number>();
  let loading: string | undefined;
  let isInDoubt = false;
  let isMoving = false;
  let lastOrderAtMs = -Infinity;
  let lookedAtMs = -Infinity;
  let chain: Promise<unknown> = Promise.resolve();

  const findSize = (model: string) => pool.models.find(({ name }) => name === model);

  const giveHeld = (held: Map<string, number>, model: string, adapter: string): AdapterGrant => {
    const nowMs = clock.monotonicMs();
    held.set(adapter, nowMs);
    const readyInMs = Math.max(0, (readyAtMs.get(`${model}/${adapter}`) ?? 0) - nowMs);
    return { server: server.id, readyInMs };
  };

  const countAdapters = (): number => holdings.countAdapters() + doubtful;

  const adopt = (held: readonly ModelWithAdapters[]): void => {
    holdings.replaceAll(held, clock.monotonicMs());
    for (const model of leaving) if (!models.has(model)) leaving.delete(model);
  };
  adopt(server.models);

  const takeReport = (report: ModelReport): void => {
    adopt(report.models);
    // What a busy engine holds may change at any moment, without another order.
    orderCount = report.isBusy ? undefined : report.orderCount;
    doubtful = report.loading.length;
    missing.clear();
  };

  /** Runs tasks of this engine one after the other, as it takes one order at a time. */
  const enqueue = <T>(task: () => Promise<T>): Promise<T> => {
    const result = chain.then(task);
    chain = result.catch(() => undefined);
    return result;
  };

  const order = async (
    action: ModelOrder['action'],
    model: string,
    adapter?: string,
  ): Promise<OrderOutcome> => {
    if (!(await confirmLeadership())) {
      log.warn(
        { server: server.id, action, model, adapter, fence },
        'order not sent, command unsure',
      );
      return OrderOutcome.refused;
    }
    const expectedCount = orderCount;
    if (isClosed || expectedCount === undefined) return OrderOutcome.refused;
    lastOrderAtMs = clock.monotonicMs();
    const outcome = await orders.send(server, {
      action,
      model,
      adapter,
      expectedCount,
      holder,
      fence,
    });
    metrics.countOrder(action, outcome);
    log.info(
      { server: server.id, action, model, adapter, expectedCount, fence, outcome },
      'order sent',
    );
    return outcome;
  };

  const countOrder = (): void => {
    if (orderCount !== undefined) orderCount += 1;
  };

  /** Finds out where the engine stands after an order without an answer, or a conflict; false when that is not known. */
  const lookAgain = async (afterMs = LOOK_AGAIN_MS): Promise<boolean> => {
    isInDoubt = true;
    await waitMilliseconds(afterMs);
    const report = await orders.readReport(server);
    if (report === undefined) {
      // Nothing is known of the engine; the next order looks first.
      orderCount = undefined;
      isInDoubt = false;
      return false;
    }
    takeReport(report);
    // An order of the holder before may still be carried out.
    isInDoubt = report.isBusy && !isMoving;
    if (isInDoubt) void enqueue(() => lookAgain());
    log.info(
      { server: server.id, orderCount, isBusy: report.isBusy, models: [...models.keys()] },
      'engine looked at again',
    );
    return orderCount !== undefined;
  };

  /** Makes sure that orders may be sent and that the engine's state is known, before anything is decided. */
  const prepare = async (): Promise<boolean> => {
    if (isClosed || !(await confirmLeadership())) return false;
    return orderCount !== undefined || (await lookAgain(0));
  };

  const unloadVictim = async (): Promise<boolean> => {
    const held = [...models].flatMap(([model, adapters]) =>
      [...adapters].map(([adapter, lastRequestedAtMs]) => {
        const name = `${model}/${adapter}`;
        return { name, model, adapter, lastRequestedAtMs, isInUse: isInUse(server.id, name) };
      }),
    );
    const chosen = chooseAdapterToEvict(held, clock.monotonicMs());
    if (chosen === undefined) return false;
    // From here on it counts as gone: nobody may be sent to it.
    models.get(chosen.model)?.delete(chosen.adapter);
    const outcome = await order('unload', chosen.model, chosen.adapter);
    if (outcome === OrderOutcome.refused) {
      models.get(chosen.model)?.set(chosen.adapter, chosen.lastRequestedAtMs);
      return false;
    }
    if (outcome === OrderOutcome.held) {
      countOrder();
      return true;
    }
    // Accepted: runs still use it, and it keeps its place until they end.
    if (outcome === OrderOutcome.accepted) countOrder();
    await lookAgain();
    return false;
  };

  const loadAdapter = async (model: string, adapter: string): Promise<AdapterGrant | undefined> => {
    if (!(await prepare())) return undefined;
    const held = models.get(model);
    if (held === undefined || leaving.has(model)) return undefined;
    if (held.has(adapter)) return giveHeld(held, model, adapter);
    if (countAdapters() >= pool.adapterSlots && !(await unloadVictim())) return undefined;
    if (countAdapters() >= pool.adapterSlots) return undefined;
    const outcome = await order('load', model, adapter);
    if (outcome === OrderOutcome.accepted || outcome === OrderOutcome.held) {
      if (outcome === OrderOutcome.accepted) countOrder();
      const transferMs = ADAPTER_BASE_MS + ADAPTER_MS_PER_MB * (findSize(model)?.adapterMb ?? 0);
      const isComing = outcome === OrderOutcome.accepted;
      if (isComing)
        readyAtMs.set(`${model}/${adapter}`, clock.monotonicMs() + Math.ceil(transferMs));
      return giveHeld(models.get(model) ?? held, model, adapter);
    }
    if (outcome !== OrderOutcome.refused) {
      doubtful += 1;
      isInDoubt = true;
      void enqueue(() => lookAgain());
    }
    return undefined;
  };

  const hasRoomFor = (model: string): boolean =>
    computeReservedMb(pool, new Set([...models.keys(), model])) <= pool.weightsMb;

  const waitForReport = async (isDone: () => boolean, mostMs: number): Promise<boolean> => {
    const startedAtMs = clock.monotonicMs();
    while (clock.monotonicMs() - startedAtMs < mostMs) {
      await waitMilliseconds(POLL_MS);
      const report = await orders.readReport(server);
      if (report === undefined) continue;
      if (clock.monotonicMs() - lastOrderAtMs >= LOOK_AGAIN_MS) takeReport(report);
      if (isDone() && !report.isBusy) return true;
    }
    return false;
  };

  const unloadModel = async (model: string): Promise<boolean> => {
    if (!(await prepare())) return false;
    const outcome = await order('unload', model);
    if (outcome === OrderOutcome.accepted) countOrder();
    else if (outcome === OrderOutcome.refused) return false;
    else if (outcome !== OrderOutcome.held) await lookAgain();
    return waitForReport(() => !models.has(model), UNLOAD_MOST_MS);
  };

  const loadModel = async (model: string): Promise<boolean> => {
    for (let tries = 0; tries < LOAD_TRIES; tries += 1) {
      if (!(await prepare())) return false;
      if (models.has(model)) return true;
      if (!hasRoomFor(model)) return false;
      const outcome = await order('load', model);
      if (outcome === OrderOutcome.accepted) {
        countOrder();
        const size = findSize(model);
        await waitForReport(() => models.has(model), (size?.loadMs ?? 0) + LOAD_SLACK_MS);
        return models.has(model);
      }
      if (outcome === OrderOutcome.held || outcome === OrderOutcome.refused)
        return outcome === OrderOutcome.held;
      await lookAgain();
    }
    return false;
  };

  return {
    setServer: (next) => {
      server = next;
      const nowMs = clock.monotonicMs();
      const isSettled = nowMs - Math.max(lastOrderAtMs, lookedAtMs) > ENTRY_NEWER_MS;
      // An entry may be older than the last order, however late it arrives: it only gives a reason to look.
      if (isSettled && !isInDoubt && !isMoving && !holdings.isEqualTo(next.models)) {
        lookedAtMs = nowMs;
        orderCount = undefined;
        holdings.updateModels(next.models);
      }
    },
    setPool: (next) => {
      pool = next;
    },
    getServer: () => server,
    listModels: () => [...models.keys()].filter((model) => !leaving.has(model)),
    listAdapters: holdings.listAdapters,
    listUnloadingModels: () => [...leaving],
    getLoadingModel: () => loading,
    computeUsedMb: () =>
      computeReservedMb(
        pool,
        new Set([...models.keys(), ...(loading === undefined ? [] : [loading])]),
      ),
    isFree: () => loading === undefined && leaving.size === 0 && !isInDoubt && !server.isLeaving,
    acquireAdapter: (model, adapter) => {
      const held = models.get(model);
      const isKnown = held?.has(adapter) === true && !missing.has(`${model}/${adapter}`);
      if (isKnown && !leaving.has(model)) return Promise.resolve(giveHeld(held, model, adapter));
      // An engine that moves a model takes no other order meanwhile.
      if (isInDoubt || isMoving || server.isLeaving) return Promise.resolve(undefined);
      return enqueue(() => loadAdapter(model, adapter));
    },
    recordMissingAdapter: (name) => {
      if (clock.monotonicMs() - lastOrderAtMs < LOOK_AGAIN_MS) return;
      // A host may be wrong, so that no place is free until the engine itself has said so.
      missing.add(name);
      orderCount = undefined;
    },
    replaceModels: async (load, unload) => {
      loading = load;
      for (const model of unload) leaving.add(model);
      try {
        if (unload.length > 0) await waitMilliseconds(ANNOUNCE_MS);
        isMoving = true;
        for (const model of unload) if (!(await enqueue(() => unloadModel(model)))) return false;
        return await enqueue(() => loadModel(load));
      } finally {
        loading = undefined;
        isMoving = false;
        leaving.clear();
      }
    },
    close: () => {
      isClosed = true;
    },
  };
}
