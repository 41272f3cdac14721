import t from 'tap';
import { OrderOutcome, type ModelOrderClient } from '../../../ports/modelOrderClient.js';
import { createServingMetrics } from '../../createServingMetrics/index.js';
import { createEngineController } from '../index.js';

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };

// An order that goes on after the loss of the leadership may arrive after those of the next leader.
t.test('a controller that is closed abandons its order in flight', async (t) => {
  let isAbandoned = false;
  const send: ModelOrderClient['send'] = (_server, _order, _mayStillSend, signal) =>
    new Promise((resolve) => {
      signal?.addEventListener('abort', () => {
        isAbandoned = true;
        resolve(OrderOutcome.unknown);
      });
    });
  const models = [{ name: 'm0', adapters: [] }];
  const controller = createEngineController({
    clock: { monotonicMs: () => 0, wallMs: () => 0 },
    log: silentLog,
    metrics: createServingMetrics(),
    orders: {
      send,
      readReport: () => Promise.resolve({ models, loading: [], isBusy: false, orderCount: 0 }),
    },
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
    pool: {
      slots: 64,
      memoryTokens: 232_000,
      weightsMb: 200_000,
      adapterSlots: 4,
      loadsPerSecond: 2,
      models: [],
    },
    waitMilliseconds: () => Promise.resolve(),
  });
  const granting = controller.acquireAdapter('m0', 'a2');
  setImmediate(controller.close);
  t.equal(await granting, undefined);
  t.ok(isAbandoned);
});
