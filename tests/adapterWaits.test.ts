// Waits for adapters at the leader while engines leave orders unanswered.
import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import { OrderOutcome, type ModelOrder } from '#dist/ports/modelOrderClient.js';
import type { BackendServer, EnginePool } from '#dist/ports/serving.js';
import { createEngineController } from '#dist/serving/createEngineController/index.js';
import { createAdapterRequests } from '#dist/serving/createFleetMember/_lib/createAdapterRequests.js';
import { createPlacementClient } from '#dist/serving/createFleetMember/_lib/createPlacementClient.js';
import { createServingMetrics } from '#dist/serving/createServingMetrics/index.js';
import type { FleetLeader } from '#dist/serving/startFleetLeader/index.js';

const clock = { monotonicMs: () => performance.now(), wallMs: () => Date.now() };
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
const request = { model: 'm0', adapter: 'a1', servers: ['e1'], missing: [] };
const LONGEST_WAIT_MS = 700;
const MARGIN_MS = 200;

/** Creates the placement client of a leader with the given grants. */
function openLeadingClient(grantAdapter: FleetLeader['grantAdapter']) {
  return createPlacementClient({
    clock,
    serverRegistry: { listCandidates: () => [] },
    adapterRequests: createAdapterRequests(() => false),
    getLeader: () => ({ grantAdapter }) as unknown as FleetLeader,
    isLed: () => true,
    getConfiguration: () => undefined,
    findReadyAtMs: () => undefined,
    recordDemand: () => undefined,
  });
}

/** Resolves to the milliseconds until a promise has settled, at most the given ones. */
async function measureMs(promise: Promise<unknown>, limitMs: number): Promise<number> {
  const startedAtMs = clock.monotonicMs();
  await Promise.race([promise, wait(limitMs)]);
  return clock.monotonicMs() - startedAtMs;
}

// Without a limit, callers of the leader got no answer half a second after their route's timeout.
t.test('the leader waits for a grant no longer than other hosts', async (t) => {
  const client = openLeadingClient(() => new Promise(() => undefined));
  const { signal } = new AbortController();
  const asked = client.requestAdapter(request, { remainingMs: 5000, signal });
  t.ok((await measureMs(asked, 2000)) < LONGEST_WAIT_MS + MARGIN_MS);
  const late = client.requestAdapter(request, { remainingMs: 100, signal });
  t.ok((await measureMs(late, 2000)) < 100 + MARGIN_MS, 'nor beyond the deadline');
});

// A wait that outlives its caller keeps the request and its place in the queue of the engine.
t.test('the wait for a grant ends with its caller', async (t) => {
  let isWanted = (): boolean => true;
  const client = openLeadingClient((_, next = isWanted) => {
    isWanted = next;
    return new Promise(() => undefined);
  });
  const callers = [new AbortController(), new AbortController()];
  const waits = callers.map(({ signal }) =>
    client.requestAdapter(request, { remainingMs: 5000, signal }),
  );
  callers[0]?.abort();
  await Promise.race([waits[0], wait(MARGIN_MS)]);
  t.ok(isWanted(), 'the other caller still waits');
  callers[1]?.abort();
  t.ok((await measureMs(Promise.all(waits), 2000)) < MARGIN_MS);
  t.notOk(isWanted());
});

const pool: EnginePool = {
  slots: 64,
  memoryTokens: 232_000,
  weightsMb: 200_000,
  adapterSlots: 80,
  loadsPerSecond: 2,
  models: [
    {
      name: 'm0',
      weightsMb: 65_000,
      loadMs: 1200,
      diskLoadMs: 400,
      adapterCount: 56,
      adapterMb: 12,
    },
  ],
};
const server: BackendServer = {
  id: 'e1',
  service: 'llm',
  address: '127.0.0.1',
  port: 1,
  dataCentre: 'a',
  slots: 64,
  isLeaving: false,
  models: [{ name: 'm0', adapters: [] }],
  incarnation: 'e1/1',
};

/** Opens the controller of an engine in virtual time; orders take `orderMs`, unanswered ones 500 ms. */
function openEngine(orderMs: number) {
  let nowMs = 10_000;
  let timers: { atMs: number; resume: () => void }[] = [];
  const engine = { isSilent: false, isReportSilent: false, orders: [] as string[], reports: 0 };
  const sleep = (milliseconds: number): Promise<void> =>
    new Promise((resume) => timers.push({ atMs: nowMs + milliseconds, resume }));
  const controller = createEngineController({
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    log: silentLog,
    metrics: createServingMetrics(),
    orders: {
      send: async (_: unknown, { adapter = '' }: ModelOrder) => {
        engine.orders.push(adapter);
        const isAnswered = !engine.isSilent;
        await sleep(isAnswered ? orderMs : 500);
        return isAnswered ? OrderOutcome.accepted : OrderOutcome.unknown;
      },
      readReport: async () => {
        engine.reports += 1;
        const isAnswered = !engine.isReportSilent;
        await sleep(isAnswered ? 2 : 500);
        const models = [{ name: 'm0', adapters: [] }];
        return isAnswered ? { models, loading: [], isBusy: false, orderCount: 0 } : undefined;
      },
    },
    holder: 'h1',
    fence: 7,
    confirmLeadership: () => Promise.resolve(true),
    isLeadershipConfirmed: () => true,
    isInUse: () => false,
    getPauseMs: () => 0,
    server,
    pool,
    waitMilliseconds: sleep,
  });
  const advance = async (milliseconds: number): Promise<void> => {
    const untilMs = nowMs + milliseconds;
    for (;;) {
      await wait(0);
      const due = timers.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)[0];
      if (due === undefined) break;
      timers = timers.filter((timer) => timer !== due);
      nowMs = due.atMs;
      due.resume();
    }
    nowMs = untilMs;
  };
  /** Asks for an adapter within 700 ms; `settledAtMs` is when the answer came. */
  const ask = (adapter: string, isWanted = () => true) => {
    const asked = { isGranted: false, settledMs: Infinity };
    const sinceMs = nowMs;
    const grantWait = { untilMs: nowMs + LONGEST_WAIT_MS, isWanted };
    void controller.acquireAdapter('m0', adapter, grantWait).then((grant) => {
      asked.isGranted = grant !== undefined;
      asked.settledMs = nowMs - sinceMs;
    });
    return asked;
  };
  return { engine, ask, advance };
}

/** Lets the controller read the state of its engine first, as a new leader does. */
async function openReadyEngine(orderMs: number) {
  const opened = openEngine(orderMs);
  const first = opened.ask('first');
  await opened.advance(1000);
  return { ...opened, first };
}

// Each of the queued orders would cost its callers another 500 ms.
t.test('an engine that leaves an order unanswered is skipped until it answers', async (t) => {
  const { engine, ask, advance, first } = await openReadyEngine(3);
  t.ok(first.isGranted);
  engine.isSilent = true;
  const asked = Array.from({ length: 20 }, (_, index) => ask(`a${index}`));
  await advance(100);
  await advance(200);
  const later = ask('later');
  await advance(0);
  t.ok(later.settledMs < 5, 'an overdue order shows that the grant would come too late');
  await advance(230);
  t.ok(asked.every(({ settledMs }) => settledMs <= 510));
  t.same(engine.orders, ['first', 'a0']);
  engine.isSilent = false;
  await advance(1000);
  const after = ask('after');
  await advance(50);
  t.ok(after.isGranted, 'the engine has answered');
});

t.test('an engine that answers no reports is asked for one now and then', async (t) => {
  const { engine, ask, advance } = await openReadyEngine(3);
  engine.isSilent = true;
  engine.isReportSilent = true;
  ask('a0');
  await advance(2000);
  const { reports } = engine;
  const asked = [];
  for (let index = 0; index < 200; index += 1) {
    asked.push(ask(`b${index}`));
    await advance(10);
  }
  t.ok(
    asked.every(({ settledMs }) => settledMs < 5),
    'callers do not wait for these reports',
  );
  t.ok(engine.reports > reports && engine.reports <= reports + 4);
  engine.isSilent = engine.isReportSilent = false;
  await advance(1500);
  ask('back');
  await advance(1500);
  const after = ask('back');
  await advance(50);
  t.ok(after.isGranted);
});

// A queue that is longer than its callers wait serves nobody.
t.test('an order queue is no longer than its callers can use', async (t) => {
  const { ask, advance } = await openReadyEngine(60);
  for (let index = 0; index < 10; index += 1) {
    ask(`usual${index}`);
    await advance(100);
  }
  const asked = Array.from({ length: 25 }, (_, index) => ask(`a${index}`));
  await advance(1);
  const refused = asked.filter(({ settledMs }) => settledMs < 5).length;
  t.ok(refused >= 10, `${refused} refused at once`);
  await advance(3000);
  t.ok(asked.every(({ settledMs }) => settledMs <= LONGEST_WAIT_MS + 60));
  t.ok(asked.filter(({ isGranted }) => isGranted).length >= 8);
});

t.test(
  'requests for one adapter share an order, and none is sent for callers that left',
  async (t) => {
    const { engine, ask, advance } = await openReadyEngine(20);
    const asked = ['a0', 'a1', 'a1', 'a1'].map((adapter) => ask(adapter));
    const left = ask('a2', () => false);
    await advance(200);
    t.ok(asked.every(({ isGranted }) => isGranted));
    t.notOk(left.isGranted);
    t.same(engine.orders, ['first', 'a0', 'a1']);
  },
);
