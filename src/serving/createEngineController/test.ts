import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import t from 'tap';
import { OrderOutcome, type ModelOrder, type ModelReport } from '../../ports/modelOrderClient.js';
import type { BackendServer, EnginePool } from '../../ports/serving.js';
import { createServingMetrics } from '../createServingMetrics/index.js';
import { createEngineController } from './index.js';

const silent = { info: () => undefined, warn: () => undefined, error: () => undefined };
const pool: EnginePool = {
  slots: 64,
  memoryTokens: 232_000,
  weightsMb: 200_000,
  adapterSlots: 4,
  loadsPerSecond: 2,
  models: ['m0', 'm1', 'm2', 'm3'].map((name) => ({
    name,
    weightsMb: 65_000,
    loadMs: 1200,
    diskLoadMs: 400,
    adapterCount: 20,
    adapterMb: 40,
  })),
};
const server: BackendServer = {
  id: 'e1',
  service: 'llm',
  address: '127.0.0.1',
  port: 1,
  dataCentre: 'a',
  slots: 64,
  isLeaving: false,
  models: [
    { name: 'm0', adapters: ['a1'] },
    { name: 'm1', adapters: [] },
  ],
  incarnation: 'e1/1',
};

/** Chances in a hundred that an order meets a fault. */
interface Faults {
  /** Carried out, not answered. */
  lost?: number;
  /** Not answered, and carried out seconds later if its count still holds. */
  late?: number;
}

const REPORT_LAG_MS = 300;
const LOAD_MS = 1200;

/** An engine in virtual time that counts orders that would not fit. */
function createEngine(seed: number, faults: Faults) {
  const random = xoroshiro128plus(seed);
  const draw = (): number => uniformInt(random, 0, 99);
  let nowMs = 10_000;
  let events: { atMs: number; run: () => void }[] = [];
  const models = new Map<string, Set<string>>([
    ['m0', new Set(['a1'])],
    ['m1', new Set()],
  ]);
  let count = 0;
  let busyUntilMs = 0;
  let overfull = 0;
  const takeReport = (): ModelReport => ({
    models: [...models].map(([name, adapters]) => ({ name, adapters: [...adapters] })),
    loading: [],
    isBusy: busyUntilMs > nowMs,
    orderCount: count,
  });
  const history: { atMs: number; report: ModelReport }[] = [{ atMs: 0, report: takeReport() }];

  const advance = (milliseconds: number): void => {
    const untilMs = nowMs + milliseconds;
    for (;;) {
      const due = events.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)[0];
      if (due === undefined) break;
      events = events.filter((event) => event !== due);
      nowMs = Math.max(nowMs, due.atMs);
      due.run();
      history.push({ atMs: nowMs, report: takeReport() });
    }
    nowMs = untilMs;
  };

  const carryOut = (order: ModelOrder): OrderOutcome => {
    if (order.expectedCount !== count || busyUntilMs > nowMs) return OrderOutcome.conflict;
    const held = models.get(order.model);
    if (order.adapter === undefined) {
      if (order.action === 'load' && held !== undefined) return OrderOutcome.held;
      if (order.action === 'unload' && held === undefined) return OrderOutcome.held;
      if (order.action === 'load' && models.size >= 3) overfull += 1;
      count += 1;
      busyUntilMs = nowMs + LOAD_MS;
      const change = (): void => {
        if (order.action === 'load') models.set(order.model, new Set());
        else models.delete(order.model);
      };
      events.push({ atMs: busyUntilMs, run: change });
      return OrderOutcome.accepted;
    }
    if (held === undefined) return OrderOutcome.misdirected;
    if (held.has(order.adapter) === (order.action === 'load')) return OrderOutcome.held;
    count += 1;
    if (order.action === 'unload') {
      held.delete(order.adapter);
      return OrderOutcome.held;
    }
    const places = [...models.values()].reduce((sum, { size }) => sum + size, 0);
    if (places >= pool.adapterSlots) overfull += 1;
    held.add(order.adapter);
    return OrderOutcome.accepted;
  };

  const send = (order: ModelOrder): OrderOutcome => {
    const fate = draw();
    if (fate < (faults.late ?? 0)) {
      events.push({ atMs: nowMs + 2000 + 100 * draw(), run: () => carryOut(order) });
      advance(500);
      return OrderOutcome.unknown;
    }
    const outcome = carryOut(order);
    history.push({ atMs: nowMs, report: takeReport() });
    if (fate >= 100 - (faults.lost ?? 0)) {
      advance(500);
      return OrderOutcome.unknown;
    }
    advance(3);
    return outcome;
  };

  return {
    draw,
    advance,
    /** Loses all but one empty model, as a restart does. */
    restart: () => {
      models.clear();
      models.set('m0', new Set());
      count = 0;
      history.push({ atMs: nowMs - REPORT_LAG_MS, report: takeReport() });
    },
    getNow: () => nowMs,
    countOverfull: () => overfull,
    describe: () => takeReport().models,
    findEntry: (atMs: number) =>
      history.filter((item) => item.atMs <= atMs).pop()?.report.models ?? [],
    orders: {
      send: (_: unknown, order: ModelOrder) => Promise.resolve(send(order)),
      readReport: () => {
        const asOfMs = nowMs - REPORT_LAG_MS;
        return Promise.resolve(history.filter(({ atMs }) => atMs <= asOfMs).pop()?.report);
      },
    },
  };
}

function openRoom(engine: ReturnType<typeof createEngine>, mayOrder: () => boolean = () => true) {
  return createEngineController({
    clock: { monotonicMs: engine.getNow, wallMs: engine.getNow },
    log: silent,
    metrics: createServingMetrics(),
    orders: engine.orders,
    holder: 'h1',
    fence: 7,
    confirmLeadership: () => Promise.resolve(mayOrder()),
    isInUse: () => false,
    server,
    pool,
    waitMilliseconds: (milliseconds) => {
      engine.advance(milliseconds);
      return Promise.resolve();
    },
  });
}

async function runDay(seed: number, faults: Faults): Promise<number> {
  const engine = createEngine(seed, faults);
  const room = openRoom(engine);
  for (let step = 0; step < 60; step += 1) {
    engine.advance(engine.draw() * 12);
    // Entries come late, at times from before the last orders.
    const entry = engine.findEntry(engine.getNow() - 100 * engine.draw());
    if (engine.draw() < 30)
      room.setServer({
        ...server,
        models: entry.map(({ name, adapters }) => ({ name, adapters })),
      });
    const model = `m${engine.draw() % 4}`;
    if (engine.draw() < 85) await room.acquireAdapter(model, `a${engine.draw() % 9}`);
    else if (room.isFree() && !room.listModels().includes(model)) {
      const unload = room.listModels().slice(0, Math.max(0, room.listModels().length - 2));
      await room.replaceModels(model, unload);
    }
  }
  return engine.countOverfull();
}

t.test('loads an adapter once, and gives it at once when it is there', async (t) => {
  const engine = createEngine(1, {});
  const room = openRoom(engine);
  t.match(await room.acquireAdapter('m0', 'a1'), { server: 'e1', readyInMs: 0 });
  const grant = await room.acquireAdapter('m0', 'a2');
  t.ok((grant?.readyInMs ?? 0) > 0);
  const second = await room.acquireAdapter('m0', 'a2');
  t.ok((second?.readyInMs ?? 0) > 0, 'still on its way');
  engine.advance(20);
  t.match(await room.acquireAdapter('m0', 'a2'), { readyInMs: 0 });
  t.equal(await room.acquireAdapter('m3', 'a1'), undefined, 'not without its model');
});

t.test('keeps an adapter whose unload it was not sure to be allowed', async (t) => {
  const engine = createEngine(1, {});
  let mayOrder = true;
  const room = openRoom(engine, () => mayOrder);
  for (const adapter of ['a2', 'a3', 'a4']) await room.acquireAdapter('m0', adapter);
  engine.advance(5000);
  mayOrder = false;
  t.equal(await room.acquireAdapter('m1', 'a5'), undefined);
  t.equal(room.listAdapters().length, 4);
  mayOrder = true;
  t.ok(await room.acquireAdapter('m1', 'a5'));
  t.equal(engine.countOverfull(), 0);
});

t.test('frees no place for an adapter that is only said to be missing', async (t) => {
  const engine = createEngine(1, {});
  const room = openRoom(engine);
  for (const adapter of ['a2', 'a3', 'a4']) await room.acquireAdapter('m0', adapter);
  engine.advance(5000);
  room.recordMissingAdapter('m0/a2');
  t.ok(await room.acquireAdapter('m1', 'a5'));
  t.equal(engine.countOverfull(), 0);
});

t.test('loads an adapter again that is said to be missing, and is', async (t) => {
  const engine = createEngine(1, {});
  const room = openRoom(engine);
  await room.acquireAdapter('m0', 'a2');
  engine.advance(5000);
  engine.restart();
  room.recordMissingAdapter('m0/a2');
  t.ok(await room.acquireAdapter('m0', 'a2'));
  t.same(engine.describe(), [{ name: 'm0', adapters: ['a2'] }]);
});

t.test('orders no copy on a report of a load that may be done meanwhile', async (t) => {
  const engine = createEngine(1, {});
  const before = { action: 'load', model: 'm2', expectedCount: 0, holder: 'h0', fence: 6 } as const;
  await engine.orders.send(server, before);
  // The load is done, and the report still says that the engine is at it.
  engine.advance(LOAD_MS + REPORT_LAG_MS / 3);
  const room = openRoom(engine);
  t.equal(await room.replaceModels('m3', []), false);
  t.equal(engine.countOverfull(), 0);
});

t.test('orders nothing once it is closed', async (t) => {
  const engine = createEngine(1, {});
  const room = openRoom(engine);
  room.close();
  t.equal(await room.acquireAdapter('m0', 'a2'), undefined);
  t.equal(await room.replaceModels('m2', []), false);
  t.same(engine.describe(), [
    { name: 'm0', adapters: ['a1'] },
    { name: 'm1', adapters: [] },
  ]);
});

t.test('does not take an entry from before its last order for the truth', async (t) => {
  const engine = createEngine(1, {});
  const room = openRoom(engine);
  const before = engine.describe();
  for (const adapter of ['a2', 'a3', 'a4']) await room.acquireAdapter('m0', adapter);
  engine.advance(6000);
  room.setServer({ ...server, models: before });
  await room.acquireAdapter('m1', 'a5');
  await room.acquireAdapter('m1', 'a6');
  t.equal(engine.countOverfull(), 0);
});

t.test('never orders more than fits, on calm days', async (t) => {
  for (let seed = 1; seed <= 40; seed += 1) t.equal(await runDay(seed, {}), 0, `seed ${seed}`);
});

t.test('never orders more than fits when answers are lost', async (t) => {
  for (let seed = 1; seed <= 60; seed += 1)
    t.equal(await runDay(seed, { lost: 30 }), 0, `seed ${seed}`);
});

t.test('never orders more than fits when orders are carried out late', async (t) => {
  for (let seed = 1; seed <= 60; seed += 1)
    t.equal(await runDay(seed, { late: 40 }), 0, `seed ${seed}`);
});
