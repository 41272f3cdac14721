import {
  OrderAction,
  ReportedState,
  type EngineOrder,
  type EngineReport,
  type OrderReply,
  type ReportedItem,
} from '../../ports/engine.js';

/** How an engine's memory behaves. */
export interface EngineMemoryOptions {
  memoryBytes: number;
  /** Whether old fencing numbers and orders to an earlier incarnation are refused. */
  checksFencing: boolean;
  /** Milliseconds by which reports lag. */
  reportLagMs: number;
  incarnation: string;
  nowMs: () => number;
  /** Fetches weights from the weight store. */
  loadWeights: (kind: string) => Promise<void>;
}

/** Accelerator memory of one engine stand-in. */
export interface EngineMemory {
  applyOrder: (order: EngineOrder) => OrderReply;
  buildReport: (inFlight: number) => EngineReport;
  /** Tells whether `name@version` can be served now. */
  isResident: (engineModel: string) => boolean;
  /** Marks a running request of a model; returns what ends it. */
  startRequest: (engineModel: string) => () => void;
  /** Times at which more bytes were taken than there are. */
  countOvercommits: () => number;
}

interface HeldItem extends ReportedItem {
  uses: number;
  wasAskedToLeave: boolean;
}

interface Snapshot {
  atMs: number;
  items: ReportedItem[];
}

function buildId({ name, version }: { name: string; version: string }): string {
  return `${name}@${version}`;
}

/** Creates an empty memory. */
export function createEngineMemory(options: EngineMemoryOptions): EngineMemory {
  const { memoryBytes, checksFencing, reportLagMs, incarnation, nowMs, loadWeights } = options;
  const items = new Map<string, HeldItem>();
  let snapshots: Snapshot[] = [{ atMs: nowMs(), items: [] }];
  let highestNumber = 0;
  let overcommits = 0;

  const recordSnapshot = (): void => {
    const held = [...items.values()].map(({ kind, name, version, bytes, state }) => ({
      kind,
      name,
      version,
      bytes,
      state,
    }));
    const usedBytes = held.reduce((sum, { bytes }) => sum + bytes, 0);
    if (usedBytes > memoryBytes) overcommits += 1;
    const atMs = nowMs();
    const firstNeeded = snapshots.findLastIndex((item) => item.atMs <= atMs - reportLagMs);
    snapshots = [...snapshots.slice(Math.max(0, firstNeeded)), { atMs, items: held }];
  };

  const removeIfIdle = (id: string): void => {
    const item = items.get(id);
    if (item?.state !== ReportedState.unloading || item.uses > 0) return;
    items.delete(id);
    recordSnapshot();
  };

  const load = async (order: EngineOrder): Promise<void> => {
    const id = buildId(order);
    if (items.has(id)) return;
    const { kind, name, version, bytes } = order;
    const item: HeldItem = {
      kind,
      name,
      version,
      bytes,
      state: ReportedState.loading,
      uses: 0,
      wasAskedToLeave: false,
    };
    items.set(id, item);
    recordSnapshot();
    await loadWeights(kind).catch(() => undefined);
    if (items.get(id) !== item) return;
    item.state = item.wasAskedToLeave ? ReportedState.unloading : ReportedState.resident;
    recordSnapshot();
    removeIfIdle(id);
  };

  const unload = (order: EngineOrder): void => {
    const id = buildId(order);
    const item = items.get(id);
    if (item === undefined) return;
    item.wasAskedToLeave = true;
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
      if (checksFencing && order.fencingNumber < highestNumber)
        return { accepted: false, engineClockMs, reason: `number ${highestNumber} was taken` };
      highestNumber = Math.max(highestNumber, order.fencingNumber);
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
      if (item !== undefined) item.uses += 1;
      return () => {
        if (item === undefined) return;
        item.uses -= 1;
        removeIfIdle(engineModel);
      };
    },
    countOvercommits: () => overcommits,
  };
}
