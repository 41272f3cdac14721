import fc from 'fast-check';
import {
  buildBundleVersion,
  isRolloutComplete,
  ENGINE_MEMORY_BYTES,
  MAX_ORDER_AGE_MS,
  MAX_ROLLOUT_ROUNDS,
} from './rolloutBundles.js';
import type { Bundle } from '#dist/decisions/bundle/types.js';
import type { Ledger, LedgerItem } from '#dist/decisions/ledger/types.js';
import { chooseOrders } from '#dist/decisions/placement/chooseOrders/index.js';
import { updateLedger } from '#dist/decisions/placement/updateLedger/index.js';
import {
  OrderAction,
  ReportedState,
  type EngineOrder,
  type EngineReport,
  type ReportedItem,
} from '#dist/ports/engine.js';
import type { ListedHost } from '#dist/ports/hostList.js';
import {
  createOrderTracker,
  type OrderTracker,
} from '#dist/programs/placement/_lib/createOrderTracker.js';

/** A simulated engine; it applies orders in whatever sequence they arrive. */
export interface SimulatedEngine {
  id: string;
  incarnation: number;
  checksFencing: boolean;
  highestFencingNumber: number;
  items: Map<string, ReportedItem>;
  reports: EngineReport[];
}

interface Leader {
  orderTracker: OrderTracker;
  /** The stored ledger as this leader last read or wrote it. */
  snapshot: { ledger: Ledger; revision: number };
  bundle: Bundle;
}

interface SentOrder {
  engine: string;
  order: EngineOrder;
  sentAtMs: number;
  leader: Leader;
}

/**
 * Generates a step: a planning round, an order delivered or lost, an engine that finishes its loads and unloads, time
 * that passes, a new bundle version, a takeover by another leader or a restart of an engine.
 */
export const stepArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('round' as const), leader: fc.nat(1) }) },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('deliver' as const),
      index: fc.nat(30),
      isDuplicated: fc.boolean(),
      isResponseLost: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), index: fc.nat(30) }) },
  {
    weight: 6,
    arbitrary: fc.record({ kind: fc.constant('finishLoads' as const), engine: fc.nat(2) }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.nat(200) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('rollOut' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('takeOver' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), engine: fc.nat(2) }) },
);
export type SimulationStep = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Options of a simulation. */
export interface SimulationOptions {
  checksFencing: boolean;
  /** Whether the rollout must complete once no more faults occur. */
  requiresCompletion?: boolean;
  /** Called after each step with the memory actually in use on each engine. */
  check: (state: {
    usedBytes: number[];
    ledger: Ledger;
    engines: SimulatedEngine[];
    hosts: ListedHost[];
    bundle: Bundle;
  }) => boolean;
}

/**
 * Runs steps with two placement processes; the previous leader may still plan after a takeover.
 * Returns whether every check passed and, if required, the rollout completed.
 */
export function runSimulation(
  steps: readonly SimulationStep[],
  { checksFencing, requiresCompletion = false, check }: SimulationOptions,
): boolean {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  let stored = { ledger: { fencingNumber: 0, engines: {}, audit: [] } as Ledger, revision: 1 };
  let bundle = buildBundleVersion(1);
  let orders: SentOrder[] = [];
  const engines = [0, 1, 2].map((index): SimulatedEngine => ({
    id: `e${index}`,
    incarnation: 1,
    checksFencing,
    highestFencingNumber: 0,
    items: new Map(),
    reports: [],
  }));
  const hosts = engines.map(({ id }): ListedHost => ({
    id,
    role: 'engine',
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'one',
    service: 's',
    leaving: false,
    memoryBytes: ENGINE_MEMORY_BYTES,
    checksFencing,
  }));
  const createLeader = (): Leader => ({
    orderTracker: createOrderTracker(clock, MAX_ORDER_AGE_MS),
    snapshot: stored,
    bundle,
  });
  let leaders = [createLeader()];

  const addReport = (engine: SimulatedEngine): void => {
    const items = [...engine.items.values()].map((item) => ({ ...item }));
    engine.reports.push({
      incarnation: String(engine.incarnation),
      asOfMs: nowMs,
      engineClockMs: nowMs,
      memoryBytes: ENGINE_MEMORY_BYTES,
      items,
      inFlight: 0,
    });
  };
  engines.forEach(addReport);

  const runRound = (leader: Leader): void => {
    const isCurrentLeader = leader === leaders[0];
    if (isCurrentLeader) leader.bundle = bundle;
    // Reports lag behind: a leader sees the last but one.
    const reports = new Map(
      engines.flatMap(({ id, reports: list }) => {
        const visibleReport = list.at(-2) ?? list[0];
        return visibleReport === undefined ? [] : [[id, visibleReport] as const];
      }),
    );
    const isInFlight = (engine: string, item: LedgerItem): boolean =>
      leader.orderTracker.isInFlight(engine, item, reports.get(engine));
    const next = updateLedger(
      {
        bundle: leader.bundle,
        engines: hosts,
        reports,
        targets: {},
        isReachable: () => true,
        isRemovable: () => false,
        hasNoPendingLoad: ({ id, checksFencing: engineChecksFencing = false }, item, report) =>
          leader.orderTracker.hasNoPendingLoad(id, item, report, engineChecksFencing),
        host: 'h',
        atMs: nowMs,
      },
      leader.snapshot.ledger,
    );
    if (next !== leader.snapshot.ledger) {
      if (leader.snapshot.revision !== stored.revision) {
        // The compare-and-swap fails: the leader reads the ledger and plans again next round.
        if (isCurrentLeader) leader.snapshot = stored;
        return;
      }
      stored = { ledger: next, revision: stored.revision + 1 };
      leader.snapshot = stored;
    }
    // Without a valid lease, no orders are sent to engines that do not check fencing tokens.
    if (!isCurrentLeader && !checksFencing) return;
    const planned = chooseOrders(leader.snapshot.ledger, {
      modelLoads: 2,
      adapterLoads: 4,
      isInFlight,
    });
    for (const { engine, order } of planned) {
      leader.orderTracker.recordSent(engine, order);
      orders.push({ engine, order, sentAtMs: nowMs, leader });
    }
  };

  const applyOrder = (engine: SimulatedEngine, order: EngineOrder): boolean => {
    const isOutdated =
      order.fencingNumber < engine.highestFencingNumber ||
      order.incarnation !== String(engine.incarnation);
    if (engine.checksFencing && isOutdated) return false;
    engine.highestFencingNumber = Math.max(engine.highestFencingNumber, order.fencingNumber);
    const key = `${order.name}@${order.version}`;
    const existingItem = engine.items.get(key);
    if (order.action === OrderAction.unload) {
      if (existingItem !== undefined) existingItem.state = ReportedState.unloading;
    } else if (existingItem === undefined) {
      const { kind, name, version, bytes } = order;
      engine.items.set(key, { kind, name, version, bytes, state: ReportedState.loading });
    }
    return true;
  };

  const deliverOrder = (index: number, isDuplicated: boolean, isResponseLost: boolean): void => {
    const sent = orders[index];
    const engine = engines.find(({ id }) => id === sent?.engine);
    if (sent === undefined || engine === undefined) return;
    if (!isDuplicated) orders = orders.filter((other) => other !== sent);
    // With engines that do not check fencing tokens, placement relies on two guarantees: a restart closes
    // the connections to the earlier incarnation, and no order is delivered after the maximum order age.
    if (sent.order.incarnation !== String(engine.incarnation) && !checksFencing) return;
    if (nowMs - sent.sentAtMs > MAX_ORDER_AGE_MS && !checksFencing) return;
    const isAccepted = applyOrder(engine, sent.order);
    if (isResponseLost) return;
    if (isAccepted) sent.leader.orderTracker.recordAccepted(sent.engine, sent.order, nowMs);
    else sent.leader.orderTracker.recordRefused(sent.engine, sent.order);
  };

  const getEngine = (index: number): SimulatedEngine => {
    const engine = engines[index];
    if (engine === undefined) throw new RangeError(`no engine with index ${index}`);
    return engine;
  };

  const finishLoadsAndUnloads = (engine: SimulatedEngine): void => {
    for (const [key, item] of [...engine.items])
      if (item.state === ReportedState.loading) item.state = ReportedState.resident;
      else if (item.state === ReportedState.unloading) engine.items.delete(key);
    addReport(engine);
  };

  for (const item of steps) {
    if (item.kind === 'round') {
      const leader = leaders[item.leader] ?? leaders[0];
      if (leader !== undefined) runRound(leader);
    } else if (item.kind === 'deliver')
      deliverOrder(item.index, item.isDuplicated, item.isResponseLost);
    else if (item.kind === 'lose') orders = orders.filter((_order, index) => index !== item.index);
    else if (item.kind === 'finishLoads') finishLoadsAndUnloads(getEngine(item.engine));
    else if (item.kind === 'advance') nowMs += item.ms;
    else if (item.kind === 'rollOut') bundle = buildBundleVersion(bundle.version + 1);
    else if (item.kind === 'takeOver') {
      stored = {
        ledger: { ...stored.ledger, fencingNumber: stored.ledger.fencingNumber + 1 },
        revision: stored.revision + 1,
      };
      leaders = [createLeader(), ...leaders].slice(0, 2);
    } else {
      const engine = getEngine(item.engine);
      engine.incarnation += 1;
      engine.highestFencingNumber = 0;
      engine.items.clear();
      addReport(engine);
    }
    const usedBytes = engines.map(({ items }) =>
      [...items.values()].reduce((sum, { bytes }) => sum + bytes, 0),
    );
    if (!check({ usedBytes, ledger: stored.ledger, engines, hosts, bundle })) return false;
  }
  if (!requiresCompletion) return true;
  for (let round = 0; round < MAX_ROLLOUT_ROUNDS; round += 1) {
    const [leader] = leaders;
    if (leader !== undefined) runRound(leader);
    while (orders.length > 0) deliverOrder(0, false, false);
    nowMs += MAX_ORDER_AGE_MS / 2;
    engines.forEach(finishLoadsAndUnloads);
  }
  return isRolloutComplete(bundle, stored.ledger);
  return true;
}
