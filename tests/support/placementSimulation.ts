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

/** An engine that takes orders whenever they come. */
export interface SimulatedEngine {
  id: string;
  incarnation: number;
  checksFencing: boolean;
  highestFencingNumber: number;
  items: Map<string, ReportedItem>;
  reports: EngineReport[];
}

interface Leader {
  book: OrderTracker;
  /** Ledger as this leader last saw it. */
  known: { ledger: Ledger; revision: number };
  bundle: Bundle;
}

interface SentOrder {
  engine: string;
  order: EngineOrder;
  sentAtMs: number;
  leader: Leader;
}

/** One step of a replay. */
export const stepArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('round' as const), leader: fc.nat(1) }) },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('deliver' as const),
      index: fc.nat(30),
      isDoubled: fc.boolean(),
      isAnswerLost: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), index: fc.nat(30) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('work' as const), engine: fc.nat(2) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.nat(200) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('roll' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('takeOver' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), engine: fc.nat(2) }) },
);
export type SimulationStep = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Options of a replay. */
export interface SimulationOptions {
  checksFencing: boolean;
  /** Called after each step with the bytes that each engine really holds. */
  /** Whether the roll must come to its end once nothing fails any more. */
  requiresCompletion?: boolean;
  check: (world: {
    usedBytes: number[];
    ledger: Ledger;
    engines: SimulatedEngine[];
    hosts: ListedHost[];
    bundle: Bundle;
  }) => boolean;
}

/** Replays steps with two placement processes, of which the one that was taken over from may go on. */
export function runSimulation(
  steps: readonly SimulationStep[],
  { checksFencing, requiresCompletion: settles = false, check }: SimulationOptions,
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
    book: createOrderTracker(clock, MAX_ORDER_AGE_MS),
    known: stored,
    bundle,
  });
  let leaders = [createLeader()];

  const report = (engine: SimulatedEngine): void => {
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
  engines.forEach(report);

  const runRound = (leader: Leader): void => {
    const isActive = leader === leaders[0];
    if (isActive) leader.bundle = bundle;
    // Reports lag: the one before the last is what a leader sees.
    const reports = new Map(
      engines.flatMap(({ id, reports: list }) => {
        const seen = list.at(-2) ?? list[0];
        return seen === undefined ? [] : [[id, seen] as const];
      }),
    );
    const isInFlight = (engine: string, item: LedgerItem): boolean =>
      leader.book.isInFlight(engine, item, reports.get(engine));
    const next = updateLedger(
      {
        bundle: leader.bundle,
        engines: hosts,
        reports,
        targets: {},
        isReachable: () => true,
        isRemovable: () => false,
        hasNoPendingLoad: ({ id, checksFencing: checks = false }, item, of) =>
          leader.book.hasNoPendingLoad(id, item, of, checks),
        host: 'h',
        atMs: nowMs,
      },
      leader.known.ledger,
    );
    if (next !== leader.known.ledger) {
      if (leader.known.revision !== stored.revision) {
        // The compare-and-swap fails: the leader learns what stands and plans again in its next round.
        if (isActive) leader.known = stored;
        return;
      }
      stored = { ledger: next, revision: stored.revision + 1 };
      leader.known = stored;
    }
    // A process whose lease has lapsed sends nothing to engines that can't fence it off.
    if (!isActive && !checksFencing) return;
    const planned = chooseOrders(leader.known.ledger, {
      modelLoads: 2,
      adapterLoads: 4,
      isInFlight,
    });
    for (const { engine, order } of planned) {
      leader.book.recordSent(engine, order);
      orders.push({ engine, order, sentAtMs: nowMs, leader });
    }
  };

  const takeOrder = (engine: SimulatedEngine, order: EngineOrder): boolean => {
    const isOld =
      order.fencingNumber < engine.highestFencingNumber ||
      order.incarnation !== String(engine.incarnation);
    if (engine.checksFencing && isOld) return false;
    engine.highestFencingNumber = Math.max(engine.highestFencingNumber, order.fencingNumber);
    const key = `${order.name}@${order.version}`;
    const held = engine.items.get(key);
    if (order.action === OrderAction.unload) {
      if (held !== undefined) held.state = ReportedState.unloading;
    } else if (held === undefined) {
      const { kind, name, version, bytes } = order;
      engine.items.set(key, { kind, name, version, bytes, state: ReportedState.loading });
    }
    return true;
  };

  const deliver = (index: number, isDoubled: boolean, isAnswerLost: boolean): void => {
    const sent = orders[index];
    const engine = engines.find(({ id }) => id === sent?.engine);
    if (sent === undefined || engine === undefined) return;
    if (!isDoubled) orders = orders.filter((other) => other !== sent);
    // Connections to an earlier incarnation died with it, and no order is older than the age.
    if (sent.order.incarnation !== String(engine.incarnation) && !checksFencing) return;
    if (nowMs - sent.sentAtMs > MAX_ORDER_AGE_MS && !checksFencing) return;
    const isTaken = takeOrder(engine, sent.order);
    if (isAnswerLost) return;
    if (isTaken) sent.leader.book.recordAccepted(sent.engine, sent.order, nowMs);
    else sent.leader.book.recordRefused(sent.engine, sent.order);
  };

  const engineAt = (index: number): SimulatedEngine => {
    const engine = engines[index];
    if (engine === undefined) throw new RangeError(`there is no engine ${index}`);
    return engine;
  };

  const work = (engine: SimulatedEngine): void => {
    for (const [key, item] of [...engine.items])
      if (item.state === ReportedState.loading) item.state = ReportedState.resident;
      else if (item.state === ReportedState.unloading) engine.items.delete(key);
    report(engine);
  };

  for (const item of steps) {
    if (item.kind === 'round') {
      const leader = leaders[item.leader] ?? leaders[0];
      if (leader !== undefined) runRound(leader);
    } else if (item.kind === 'deliver') deliver(item.index, item.isDoubled, item.isAnswerLost);
    else if (item.kind === 'lose') orders = orders.filter((_order, index) => index !== item.index);
    else if (item.kind === 'work') work(engineAt(item.engine));
    else if (item.kind === 'advance') nowMs += item.ms;
    else if (item.kind === 'roll') bundle = buildBundleVersion(bundle.version + 1);
    else if (item.kind === 'takeOver') {
      stored = {
        ledger: { ...stored.ledger, fencingNumber: stored.ledger.fencingNumber + 1 },
        revision: stored.revision + 1,
      };
      leaders = [createLeader(), ...leaders].slice(0, 2);
    } else {
      const engine = engineAt(item.engine);
      engine.incarnation += 1;
      engine.highestFencingNumber = 0;
      engine.items.clear();
      report(engine);
    }
    const usedBytes = engines.map(({ items }) =>
      [...items.values()].reduce((sum, { bytes }) => sum + bytes, 0),
    );
    if (!check({ usedBytes, ledger: stored.ledger, engines, hosts, bundle })) return false;
  }
  if (!settles) return true;
  for (let round = 0; round < MAX_ROLLOUT_ROUNDS; round += 1) {
    const [leader] = leaders;
    if (leader !== undefined) runRound(leader);
    while (orders.length > 0) deliver(0, false, false);
    nowMs += MAX_ORDER_AGE_MS / 2;
    engines.forEach(work);
  }
  return isRolloutComplete(bundle, stored.ledger);
  return true;
}
