import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import t from 'tap';
import { OrderOutcome, type ModelOrder, type ModelReport } from '../../ports/modelOrderClient.js';
import type { BackendServer, EnginePool } from '../../ports/serving.js';
import { createServingMetrics } from '../createServingMetrics/index.js';
import { createEngineController } from './index.js';

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
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

/** Percentage of orders that meet each fault. */
interface Faults {
  /** Executed, but the response is lost. */
  lost?: number;
  /** Unanswered, and executed seconds later if the expected count still matches. */
  late?: number;
}

const REPORT_LAG_MS = 300;
const LOAD_MS = 1200;

/** Simulates an engine in virtual time and counts the loads that exceed its capacity. */
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
  let capacityViolations = 0;
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

  const executeOrder = (order: ModelOrder): OrderOutcome => {
    if (order.expectedCount !== count || busyUntilMs > nowMs) return OrderOutcome.conflict;
    const loadedAdapters = models.get(order.model);
    if (order.adapter === undefined) {
      if (order.action === 'load' && loadedAdapters !== undefined) return OrderOutcome.held;
      if (order.action === 'unload' && loadedAdapters === undefined) return OrderOutcome.held;
      if (order.action === 'load' && models.size >= 3) capacityViolations += 1;
      count += 1;
      busyUntilMs = nowMs + LOAD_MS;
      const change = (): void => {
        if (order.action === 'load') models.set(order.model, new Set());
        else models.delete(order.model);
      };
      events.push({ atMs: busyUntilMs, run: change });
      return OrderOutcome.accepted;
    }
    if (loadedAdapters === undefined) return OrderOutcome.misdirected;
    if (loadedAdapters.has(order.adapter) === (order.action === 'load')) return OrderOutcome.held;
    count += 1;
    if (order.action === 'unload') {
      loadedAdapters.delete(order.adapter);
      return OrderOutcome.held;
    }
    const adapterCount = [...models.values()].reduce((sum, { size }) => sum + size, 0);
    if (adapterCount >= pool.adapterSlots) capacityViolations += 1;
    loadedAdapters.add(order.adapter);
    return OrderOutcome.accepted;
  };

  const send = (order: ModelOrder): OrderOutcome => {
    const drawn = draw();
    if (drawn < (faults.late ?? 0)) {
      events.push({ atMs: nowMs + 2000 + 100 * draw(), run: () => executeOrder(order) });
      advance(500);
      return OrderOutcome.unknown;
    }
    const outcome = executeOrder(order);
    history.push({ atMs: nowMs, report: takeReport() });
    if (drawn >= 100 - (faults.lost ?? 0)) {
      advance(500);
      return OrderOutcome.unknown;
    }
    advance(3);
    return outcome;
  };

  return {
    draw,
    advance,
    /** Resets to one model without adapters, as a restart does. */
    restart: () => {
      models.clear();
      models.set('m0', new Set());
      count = 0;
      history.push({ atMs: nowMs - REPORT_LAG_MS, report: takeReport() });
    },
    getNow: () => nowMs,
    countCapacityViolations: () => capacityViolations,
    listModels: () => takeReport().models,
    findRegistered: (atMs: number) =>
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

function openController(
  engine: ReturnType<typeof createEngine>,
  mayOrder: () => boolean = () => true,
) {
  return createEngineController({
    clock: { monotonicMs: engine.getNow, wallMs: engine.getNow },
    log: silentLog,
    metrics: createServingMetrics(),
    orders: engine.orders,
    holder: 'h1',
    fence: 7,
    confirmLeadership: () => Promise.resolve(mayOrder()),
    isLeadershipConfirmed: mayOrder,
    isInUse: () => false,
    getPauseMs: () => 0,
    server,
    pool,
    waitMilliseconds: (milliseconds) => {
      engine.advance(milliseconds);
      return Promise.resolve();
    },
  });
}

async function runRandomSteps(seed: number, faults: Faults): Promise<number> {
  const engine = createEngine(seed, faults);
  const controller = openController(engine);
  for (let step = 0; step < 60; step += 1) {
    engine.advance(engine.draw() * 12);
    // Registrations arrive late and may predate the last orders.
    const registered = engine.findRegistered(engine.getNow() - 100 * engine.draw());
    if (engine.draw() < 30)
      controller.setServer({
        ...server,
        models: registered.map(({ name, adapters }) => ({ name, adapters })),
      });
    const model = `m${engine.draw() % 4}`;
    if (engine.draw() < 85) await controller.acquireAdapter(model, `a${engine.draw() % 9}`);
    else if (controller.isFree() && !controller.listModels().includes(model)) {
      const unload = controller
        .listModels()
        .slice(0, Math.max(0, controller.listModels().length - 2));
      await controller.replaceModels(model, unload);
    }
  }
  return engine.countCapacityViolations();
}

t.test('loads an adapter once and grants a loaded one at once', async (t) => {
  const engine = createEngine(1, {});
  const controller = openController(engine);
  t.match(await controller.acquireAdapter('m0', 'a1'), { server: 'e1', readyInMs: 0 });
  const grant = await controller.acquireAdapter('m0', 'a2');
  t.ok((grant?.readyInMs ?? 0) > 0);
  const second = await controller.acquireAdapter('m0', 'a2');
  t.ok((second?.readyInMs ?? 0) > 0, 'still being loaded');
  engine.advance(20);
  t.match(await controller.acquireAdapter('m0', 'a2'), { readyInMs: 0 });
  t.equal(await controller.acquireAdapter('m3', 'a1'), undefined, 'not loaded without its model');
});

t.test('keeps an adapter when leadership is not confirmed before its unload', async (t) => {
  const engine = createEngine(1, {});
  let mayOrder = true;
  const controller = openController(engine, () => mayOrder);
  for (const adapter of ['a2', 'a3', 'a4']) await controller.acquireAdapter('m0', adapter);
  engine.advance(5000);
  mayOrder = false;
  t.equal(await controller.acquireAdapter('m1', 'a5'), undefined);
  t.equal(controller.listAdapters().length, 4);
  mayOrder = true;
  t.ok(await controller.acquireAdapter('m1', 'a5'));
  t.equal(engine.countCapacityViolations(), 0);
});

t.test('frees no slot for an adapter that is wrongly reported missing', async (t) => {
  const engine = createEngine(1, {});
  const controller = openController(engine);
  for (const adapter of ['a2', 'a3', 'a4']) await controller.acquireAdapter('m0', adapter);
  engine.advance(5000);
  controller.recordMissingAdapter('m0/a2');
  t.ok(await controller.acquireAdapter('m1', 'a5'));
  t.equal(engine.countCapacityViolations(), 0);
});

t.test('reloads an adapter that is rightly reported missing', async (t) => {
  const engine = createEngine(1, {});
  const controller = openController(engine);
  await controller.acquireAdapter('m0', 'a2');
  engine.advance(5000);
  engine.restart();
  controller.recordMissingAdapter('m0/a2');
  t.ok(await controller.acquireAdapter('m0', 'a2'));
  t.same(engine.listModels(), [{ name: 'm0', adapters: ['a2'] }]);
});

t.test('loads no replica while a report still shows a load in progress', async (t) => {
  const engine = createEngine(1, {});
  const before = { action: 'load', model: 'm2', expectedCount: 0, holder: 'h0', fence: 6 } as const;
  await engine.orders.send(server, before);
  // The load is complete, but the lagging report still shows it in progress.
  engine.advance(LOAD_MS + REPORT_LAG_MS / 3);
  const controller = openController(engine);
  t.equal(await controller.replaceModels('m3', []), false);
  t.equal(engine.countCapacityViolations(), 0);
});

t.test('sends no orders once it is closed', async (t) => {
  const engine = createEngine(1, {});
  const controller = openController(engine);
  controller.close();
  t.equal(await controller.acquireAdapter('m0', 'a2'), undefined);
  t.equal(await controller.replaceModels('m2', []), false);
  t.same(engine.listModels(), [
    { name: 'm0', adapters: ['a1'] },
    { name: 'm1', adapters: [] },
  ]);
});

t.test('does not trust a registration that predates its last order', async (t) => {
  const engine = createEngine(1, {});
  const controller = openController(engine);
  const before = engine.listModels();
  for (const adapter of ['a2', 'a3', 'a4']) await controller.acquireAdapter('m0', adapter);
  engine.advance(6000);
  controller.setServer({ ...server, models: before });
  await controller.acquireAdapter('m1', 'a5');
  await controller.acquireAdapter('m1', 'a6');
  t.equal(engine.countCapacityViolations(), 0);
});

t.test('never exceeds the capacity without faults', async (t) => {
  for (let seed = 1; seed <= 40; seed += 1)
    t.equal(await runRandomSteps(seed, {}), 0, `seed ${seed}`);
});

t.test('never exceeds the capacity when responses are lost', async (t) => {
  for (let seed = 1; seed <= 60; seed += 1)
    t.equal(await runRandomSteps(seed, { lost: 30 }), 0, `seed ${seed}`);
});

t.test('never exceeds the capacity when orders are executed late', async (t) => {
  for (let seed = 1; seed <= 60; seed += 1)
    t.equal(await runRandomSteps(seed, { late: 40 }), 0, `seed ${seed}`);
});
