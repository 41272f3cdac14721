import t from 'tap';
import {
  OrderOutcome,
  type ModelOrderClient,
  type ModelReport,
} from '../../../ports/modelOrderClient.js';
import type { EnginePool } from '../../../ports/serving.js';
import { createServingMetrics } from '../../createServingMetrics/index.js';
import { createEngineController } from '../index.js';

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
const buildPool = (names: readonly string[], weightsMb = 65_000): EnginePool => ({
  slots: 64,
  memoryTokens: 232_000,
  weightsMb: 200_000,
  adapterSlots: 4,
  loadsPerSecond: 2,
  models: names.map((name) => ({
    name,
    weightsMb,
    loadMs: 1200,
    diskLoadMs: 400,
    adapterCount: 20,
    adapterMb: 40,
  })),
});

/** Opens a controller of an engine that holds the given models and accepts orders as `send` says. */
function openController(
  names: readonly string[],
  pool: EnginePool,
  send: ModelOrderClient['send'],
) {
  const models = names.map((name) => ({ name, adapters: [] }));
  const report: ModelReport = { models, loading: [], isBusy: false, orderCount: 0 };
  return createEngineController({
    clock: { monotonicMs: () => 0, wallMs: () => 0 },
    log: silentLog,
    metrics: createServingMetrics(),
    orders: { send, readReport: () => Promise.resolve(report) },
    holder: 'h1',
    fence: 7,
    confirmLeadership: () => Promise.resolve(true),
    isLeadershipConfirmed: () => true,
    isInUse: () => false,
    getPauseMs: () => 0,
    server: {
      id: 'e1',
      service: 'llm',
      address: '127.0.0.1',
      port: 1,
      dataCentre: 'a',
      slots: 64,
      isLeaving: false,
      models,
      incarnation: 'e1/1',
    },
    pool,
    waitMilliseconds: () => Promise.resolve(),
  });
}

// An order that goes on after the loss of the leadership may arrive after those of the next leader.
t.test('a controller that is closed abandons its order in flight', async (t) => {
  let isAbandoned = false;
  const controller = openController(
    ['m0'],
    buildPool(['m0']),
    (_server, _order, _mayStillSend, signal) =>
      new Promise((resolve) => {
        signal?.addEventListener('abort', () => {
          isAbandoned = true;
          resolve(OrderOutcome.unknown);
        });
      }),
  );
  const granting = controller.acquireAdapter('m0', 'a2');
  setImmediate(controller.close);
  t.equal(await granting, undefined);
  t.ok(isAbandoned);
});

// Three models of 65,000 MB are on the engine; a fourth one would exceed its memory.
t.test('a model that the configuration no longer lists keeps its memory', async (t) => {
  let orders = 0;
  const send = (): Promise<OrderOutcome> => {
    orders += 1;
    return Promise.resolve(OrderOutcome.refused);
  };
  const controller = openController(['m0', 'm1', 'm2'], buildPool(['m0', 'm1', 'm2']), send);
  const usedMb = controller.computeUsedMb();
  controller.setPool(buildPool(['m1', 'm2', 'm3']));
  t.equal(controller.computeUsedMb(), usedMb);
  t.same([...controller.listDelistedMb()], [['m0', 65_000]]);
  t.notOk(await controller.replaceModels('m3', []));
  t.equal(orders, 0);
  controller.setPool(buildPool(['m0', 'm1', 'm2', 'm3']));
  t.equal(controller.listDelistedMb().size, 0, 'listed again');
});

t.test('a new leader takes unlisted models to fill the engine', (t) => {
  const send = (): Promise<OrderOutcome> => Promise.resolve(OrderOutcome.refused);
  const controller = openController(['m0', 'm1'], buildPool(['m1']), send);
  t.equal(controller.computeUsedMb(), 200_000);
  t.same([...controller.listDelistedMb()], [['m0', 200_000 - 65_000 - 4 * 40]]);
  t.end();
});
