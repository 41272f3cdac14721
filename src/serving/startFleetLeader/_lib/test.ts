import { setImmediate as waitForPromises } from 'node:timers/promises';
import t from 'tap';
import type { BackendServer, EnginePool } from '../../../ports/serving.js';
import type { EngineController } from '../../createEngineController/index.js';
import { collectServerChanges, createSentServers } from './collectServerChanges.js';
import { createModelDemandMeter } from './createModelDemandMeter.js';
import { createServerFaults } from './createServerFaults.js';
import { createReplicaScheduler } from './createReplicaScheduler.js';

const MODEL_MB = 60_000;
const PASS_MS = 300;
const rareModels = Array.from({ length: 12 }, (_, index) => `rare-${index}`);
const pool: EnginePool = {
  slots: 24,
  memoryTokens: 200_000,
  weightsMb: 200_000,
  adapterSlots: 8,
  loadsPerSecond: 20,
  models: ['hot', ...rareModels].map((name) => ({
    name,
    weightsMb: MODEL_MB,
    loadMs: 4000,
    diskLoadMs: 800,
    adapterCount: 0,
    adapterMb: 12,
  })),
};

/** Creates a controller that fails its loads at once, or one whose loads take for ever. */
function createController(id: string, models: string[], isBroken = false): EngineController {
  let loading: string | undefined;
  const server: BackendServer = {
    id,
    service: 'llm',
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'a',
    slots: 24,
    isLeaving: false,
    models: models.map((name) => ({ name, adapters: [] })),
    incarnation: id,
  };
  return {
    setServer: () => undefined,
    setPool: () => undefined,
    getServer: () => server,
    listModels: () => models,
    listAdapters: () => [],
    listUnloadingModels: () => [],
    getLoadingModel: () => loading,
    computeUsedMb: () => (models.length + (loading === undefined ? 0 : 1)) * MODEL_MB,
    listDelistedMb: () => new Map(),
    isFree: () => loading === undefined,
    acquireAdapter: () => Promise.resolve(undefined),
    recordMissingAdapter: () => undefined,
    replaceModels: async (load) => {
      loading = load;
      await (isBroken ? waitForPromises() : new Promise(() => undefined));
      loading = undefined;
      return false;
    },
    close: () => undefined,
  };
}

/** Runs planning passes with the same requests before each one; returns the planned moves. */
async function runPasses(
  controllers: readonly EngineController[],
  passes: number,
  requests: Record<string, number>,
  options: { unreachable?: string } = {},
): Promise<{ engine: string; load: string }[]> {
  let nowMs = 1_000_000;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const moves: { engine: string; load: string }[] = [];
  const demand = createModelDemandMeter(nowMs);
  const scheduler = createReplicaScheduler({
    clock,
    log: {
      info: (fields, message) => {
        if (message === 'replica move planned')
          moves.push({ engine: String(fields.engine), load: String(fields.load) });
      },
      warn: () => undefined,
      error: () => undefined,
    },
    random: () => 0.5,
    fence: 1,
    demand,
    isInUse: () => false,
    isUnreachable: (server) => server === options.unreachable,
    getSlowShare: () => 0,
    measureBacklog: () => 0,
    getRequestLimit: () => Infinity,
    measureUtilisation: ({ models }) => (models.some(({ name }) => name === 'hot') ? 1.5 : 0),
    listControllers: () => controllers.map((item) => [item.getServer().id, item]),
  });
  for (let pass = 0; pass < passes; pass += 1) {
    demand.decay(nowMs);
    demand.record(
      Object.fromEntries(Object.entries(requests).map(([name, work]) => [`llm/${name}`, work])),
    );
    scheduler.startMoves('llm', pool);
    for (let turn = 0; turn < 3; turn += 1) await waitForPromises();
    nowMs += PASS_MS;
  }
  return moves;
}

t.test('loads a model elsewhere while an engine fails its loads', async (t) => {
  const moves = await runPasses(
    [
      createController('serving', ['hot', 'rare-0', 'rare-1']),
      createController('crashed', ['rare-2'], true),
      createController('other', ['rare-2', 'rare-3', 'rare-3']),
    ],
    14,
    { hot: 10_000 },
  );
  t.ok(moves.filter(({ engine }) => engine === 'crashed').length <= 2);
  t.ok(moves.some(({ engine, load }) => engine === 'other' && load === 'hot'));
});

t.test('keeps engines free for a busy model while many rare ones are asked for', async (t) => {
  const requests = Object.fromEntries(rareModels.map((name) => [name, 100]));
  const engines = Array.from({ length: 8 }, (_, index) => createController(`e${index}`, []));
  const moves = await runPasses([createController('serving', ['hot']), ...engines], 12, {
    hot: 10_000,
    ...requests,
  });
  const rareLoads = moves.filter(({ load }) => load !== 'hot');
  t.ok(rareLoads.length > 0 && rareLoads.length <= 5);
  t.ok(moves.some(({ load }) => load === 'hot'));
});

t.test(
  'the demand for a model follows its requests within two seconds, and lasts while it is rare',
  (t) => {
    const meter = createModelDemandMeter(0);
    const readDemand = (name: string): number =>
      meter.listModels('llm', pool).find((item) => item.name === name)?.demand ?? 0;
    let nowMs = 0;
    const runSeconds = (seconds: number, busy: string): void => {
      for (const endMs = nowMs + seconds * 1000; nowMs < endMs; nowMs += 100) {
        meter.decay(nowMs);
        meter.record({ [`llm/${busy}`]: 1000 });
      }
    };
    meter.record({ 'llm/rare-1': 2000 });
    runSeconds(10, 'hot');
    t.ok(readDemand('hot') > 9000 && readDemand('hot') < 11_000, 'work per second');
    t.ok(readDemand('rare-1') >= 1, 'requested ten seconds ago');
    runSeconds(2, 'rare-0');
    t.ok(readDemand('rare-0') > readDemand('hot'));
    runSeconds(30, 'rare-0');
    t.equal(readDemand('rare-1'), 0);
    t.end();
  },
);

t.test(
  'loads a model elsewhere before the registration of its crashed engine lapses',
  async (t) => {
    const engines = [createController('crashed', ['hot']), createController('other', ['rare-0'])];
    const requests = { hot: 10_000 };
    const moves = await runPasses(engines, 2, requests, { unreachable: 'crashed' });
    t.match(moves[0], { engine: 'other', load: 'hot' });
    const whileReachable = await runPasses(
      [createController('sound', ['hot']), createController('other', ['rare-0'])],
      2,
      requests,
    );
    t.notOk(whileReachable.some(({ load }) => load === 'hot'));
  },
);

t.test(
  'takes a server for unreachable when two hosts cannot connect, until they have tried again',
  (t) => {
    let nowMs = 0;
    const faults = createServerFaults({ monotonicMs: () => nowMs, wallMs: () => nowMs });
    const sound = { silent: [], unreachable: [] };
    const silent = { silent: ['e1'], unreachable: [] };
    const refused = { silent: [], unreachable: ['e2'] };
    t.same(faults.updateSuspects([silent, refused, sound]), [], 'one host alone may be at fault');
    t.same(faults.updateSuspects([silent, silent, refused, refused]), ['e1', 'e2']);
    t.notOk(faults.isUnreachable('e1'), 'a silent server may be busy');
    nowMs = 2000;
    t.same(faults.updateSuspects([sound, sound]), []);
    t.ok(faults.isUnreachable('e2'), 'the backoff of the hosts is not over');
    nowMs = 3000;
    t.notOk(faults.isUnreachable('e2'));
    t.same(faults.updateSuspects([refused]), ['e2'], 'the only host');
    t.end();
  },
);

t.test('a host is sent all servers once, as soon as they are current', (t) => {
  const list = (...ids: string[]) =>
    new Map(ids.map((id) => [id, createController(id, []).getServer()]));
  const sent = createSentServers();
  const outdated = collectServerChanges(sent, list('e1', 'e2'), false, 0);
  t.notOk(outdated.isSnapshot, 'a leader that has not read the list knows nothing of removals');
  const first = collectServerChanges(sent, list('e1', 'e3'), true, 0);
  t.ok(first.isSnapshot);
  t.strictSame(
    first.servers.map(({ id }) => id),
    ['e1', 'e3'],
    'also those that were sent before',
  );
  const next = collectServerChanges(sent, list('e3'), true, 0);
  t.notOk(next.isSnapshot);
  t.strictSame(next.removed, ['e1']);
  t.end();
});

t.test('views carry cold times, not each renewal of them', (t) => {
  const sent = createSentServers();
  const server = createController('e1', []).getServer();
  const send = (warmAtMs: number | undefined, nowMs: number): (number | undefined)[] =>
    collectServerChanges(sent, new Map([['e1', { ...server, warmAtMs }]]), true, nowMs).servers.map(
      ({ coldRemainingMs }) => coldRemainingMs,
    );
  t.strictSame(send(undefined, 0), [0]);
  t.strictSame(send(9000, 1000), [8200], 'not shorter than it may be');
  t.strictSame(send(9100, 2200), []);
  t.strictSame(send(undefined, 9000), [], 'it has passed for the hosts as well');
  t.strictSame(send(19_000, 10_000), [9200], 'cold again');
  t.strictSame(send(undefined, 11_200), [0], 'warm earlier than it was told');
  t.end();
});
