import {
  OrderAction,
  ReportedState,
  type EngineOrder,
  type EngineReport,
  type OrderReply,
  type ReportedItem,
} from '../../ports/engine.js';

/** Options of the simulated accelerator memory. */
export interface EngineMemoryOptions {
  memoryBytes: number;
  /** Whether orders with an old fencing token or for another incarnation are refused. */
  checksFencing: boolean;
  /** Milliseconds by which reports lag behind the memory's state. */
  reportLagMs: number;
  incarnation: string;
  nowMs: () => number;
  /** Loads weights of an item kind from the weight store. */
  loadWeights: (kind: string) => Promise<void>;
}

/** Simulated accelerator memory of one engine stand-in. */
export interface EngineMemory {
  /** Carries out or refuses an order; a load or unload ends later. */
  applyOrder: (order: EngineOrder) => OrderReply;
  /** Builds the report of the memory as it was before the report lag. */
  buildReport: (inFlight: number) => EngineReport;
  /** Returns whether `name@version` is loaded and can be served. */
  isResident: (engineModel: string) => boolean;
  /** Counts a running request of a model; returns a function that ends it. */
  startRequest: (engineModel: string) => () => void;
  /** Number of state changes after which items used more bytes than the memory has. */
  countOvercommits: () => number;
}

interface MemoryItem extends ReportedItem {
  runningRequests: number;
  isUnloadRequested: boolean;
}

interface Snapshot {
  atMs: number;
  items: ReportedItem[];
}

function buildId({ name, version }: { name: string; version: string }): string {
  return `${name}@${version}`;
}

/** Creates an empty memory, which carries out orders and records its past states for lagging reports. */
export function createEngineMemory(options: EngineMemoryOptions): EngineMemory {
  const { memoryBytes, checksFencing, reportLagMs, incarnation, nowMs, loadWeights } = options;
  const items = new Map<string, MemoryItem>();
  let snapshots: Snapshot[] = [{ atMs: nowMs(), items: [] }];
  let highestFencingNumber = 0;
  let overcommits = 0;

  const recordSnapshot = (): void => {
    const reportedItems = [...items.values()].map(({ kind, name, version, bytes, state }) => ({
      kind,
      name,
      version,
      bytes,
      state,
    }));
    const usedBytes = reportedItems.reduce((sum, { bytes }) => sum + bytes, 0);
    if (usedBytes > memoryBytes) overcommits += 1;
    const atMs = nowMs();
    const firstNeededIndex = snapshots.findLastIndex((item) => item.atMs <= atMs - reportLagMs);
    snapshots = [...snapshots.slice(Math.max(0, firstNeededIndex)), { atMs, items: reportedItems }];
  };

  const removeIfIdle = (id: string): void => {
    const item = items.get(id);
    if (item?.state !== ReportedState.unloading || item.runningRequests > 0) return;
    items.delete(id);
    recordSnapshot();
  };

  const load = async (order: EngineOrder): Promise<void> => {
    const id = buildId(order);
    if (items.has(id)) return;
    const { kind, name, version, bytes } = order;
    const item: MemoryItem = {
      kind,
      name,
      version,
      bytes,
      state: ReportedState.loading,
      runningRequests: 0,
      isUnloadRequested: false,
    };
    items.set(id, item);
    recordSnapshot();
    await loadWeights(kind).catch(() => undefined);
    if (items.get(id) !== item) return;
    item.state = item.isUnloadRequested ? ReportedState.unloading : ReportedState.resident;
    recordSnapshot();
    removeIfIdle(id);
  };

  const unload = (order: EngineOrder): void => {
    const id = buildId(order);
    const item = items.get(id);
    if (item === undefined) return;
    item.isUnloadRequested = true;
    if (item.state === ReportedState.loading) return;
    item.state = ReportedState.unloading;
    recordSnapshot();
    removeIfIdle(id);
  };

  return {
    applyOrder: (order) => {
      const engineClockMs = nowMs();
      if (checksFencing && order.incarnation !== incarnation)
        return { accepted: false, engineClockMs, reason: 'order for another incarnation' };
      if (checksFencing && order.fencingNumber < highestFencingNumber)
        return {
          accepted: false,
          engineClockMs,
          reason: `number ${highestFencingNumber} was taken`,
        };
      highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber);
      if (order.action === OrderAction.load) void load(order);
      else unload(order);
      return { accepted: true, engineClockMs };
    },
    buildReport: (inFlight) => {
      const engineClockMs = nowMs();
      const asOfMs = engineClockMs - reportLagMs;
      const shown = snapshots.findLast(({ atMs }) => atMs <= asOfMs) ?? snapshots[0];
      return {
        incarnation,
        asOfMs,
        engineClockMs,
        memoryBytes,
        items: shown?.items ?? [],
        inFlight,
      };
    },
    isResident: (engineModel) => items.get(engineModel)?.state === ReportedState.resident,
    startRequest: (engineModel) => {
      const item = items.get(engineModel);
      if (item !== undefined) item.runningRequests += 1;
      return () => {
        if (item === undefined) return;
        item.runningRequests -= 1;
        removeIfIdle(engineModel);
      };
    },
    countOvercommits: () => overcommits,
  };
}
