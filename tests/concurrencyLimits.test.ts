import t from 'tap';
import {
  createConcurrencyLimits,
  MAX_LIMIT_AGE_MS,
} from '#dist/serving/createConcurrencyLimits/index.js';
import { parseFleetMessage } from '#dist/serving/fleetMessages.js';
import { createConcurrencyMeter } from '#dist/serving/startFleetLeader/_lib/createConcurrencyMeter.js';
import type { EnginePool } from '#dist/ports/serving.js';
import { replayLimits, type LimitRule } from './support/replayLimits.js';

const SEEDS = [1, 2, 3, 4];
const UNEQUAL = [0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];
const ALIKE = UNEQUAL.map(() => 0.55);

function countOnTime(rule: LimitRule, speeds: readonly number[], load: number, tokens?: number) {
  const results = SEEDS.map((seed) =>
    replayLimits(rule, {
      seed,
      speeds,
      streamsPerSecond: 60 * load,
      promptsPerSecond: 20 * load,
      memoryTokens: tokens,
    }),
  );
  return {
    onTime: results.reduce((sum, item) => sum + item.streams - item.lateStreams, 0),
    preemptions: results.reduce((sum, item) => sum + item.preemptions, 0),
  };
}

// Guards against engines that take requests up to their slots and serve all of them late.
t.test('serves more streams on time with more callers than engines serve', (t) => {
  for (const [speeds, load] of [
    [UNEQUAL, 0.8],
    [UNEQUAL, 1],
    [ALIKE, 0.4],
  ] as const) {
    const before = countOnTime('none', speeds, load).onTime;
    const withSlots = countOnTime('slots', speeds, load).onTime;
    const after = countOnTime('learned', speeds, load).onTime;
    t.ok(after > 1.03 * withSlots, `${after} with learned limits, ${withSlots} with the slots`);
    t.ok(after > 2 * before, `${after} with learned limits, ${before} without`);
  }
  t.end();
});

// Guards against requests that are processed again because the memory of their engine ran out.
t.test('preempts no requests where memory is scarce', (t) => {
  const before = countOnTime('none', UNEQUAL, 0.6, 25_000);
  const after = countOnTime('learned', UNEQUAL, 0.6, 25_000);
  t.ok(before.preemptions > 100 && after.preemptions < 10, { before, after });
  t.ok(after.onTime > 1.2 * before.onTime, { before, after });
  t.end();
});

const pool = { slots: 32, memoryTokens: 100_000 } as EnginePool;
const servers = new Map([['e1', { service: 'llm', slots: 32 }]]);

function openFleet() {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const openHost = (lateShare = 0.1, random = 0) =>
    createConcurrencyLimits({
      clock,
      lateShare,
      getTokensPerEvent: () => 5,
      random: () => random,
    });
  const openMeter = (host = openHost()) =>
    createConcurrencyMeter({
      clock,
      lateShare: 0.1,
      knownLimits: host.listLimits(),
      findPool: () => pool,
    });
  return { openHost, openMeter, pass: (ms: number) => (nowMs += ms) };
}

// Guards against a new leader that lets each engine run as many requests as it has slots.
t.test('a new leader goes on with the limits of the failed one', (t) => {
  const { openHost, openMeter, pass } = openFleet();
  const host = openHost();
  t.teardown(host.close);
  const first = openMeter();
  first.update([], { e1: [20, 0, 0, 0] }, servers);
  for (let stream = 0; stream < 20; stream += 1) host.recordStream('e1', stream < 10);
  first.record({ concurrency: host.takeReport() });
  pass(1000);
  first.update([], { e1: [20, 0, 0, 0] }, servers);
  host.applyView(first.takeView('h1'));
  const learned = host.getLimit('e1')?.requests;
  t.equal(learned, 24);
  t.equal(first.takeView('h1')?.limits, undefined, 'sent once');
  const next = openMeter(host);
  next.update([], {}, servers);
  t.equal(next.takeView('h1')?.limits?.e1?.[0], learned);
  t.end();
});

t.test('limits end with their age, and whoever waits is told', (t) => {
  const { openHost, pass } = openFleet();
  const host = openHost();
  t.teardown(host.close);
  let views = 0;
  host.onChange(() => (views += 1));
  host.applyView({ limits: { e1: [4, 1000] }, held: {}, ownHeld: {} });
  t.same(host.getLimit('e1'), { requests: 4, tokens: 1000 });
  t.equal(host.getLimit('e2'), undefined);
  host.applyView(undefined);
  t.equal(host.getLimit('e1')?.requests, 4, 'a view of an older version takes nothing back');
  pass(MAX_LIMIT_AGE_MS);
  t.equal(host.getLimit('e1'), undefined);
  t.equal(views, 2);
  t.end();
});

// Guards against queues of all hosts that are sent at one moment after the leader has failed.
t.test('limits do not end at all hosts at once', (t) => {
  const { openHost, pass } = openFleet();
  const hosts = [0, 0.5, 0.9].map((random) => openHost(0.1, random));
  for (const host of hosts) {
    t.teardown(host.close);
    host.applyView({ limits: { e1: [4, 1000] }, held: {}, ownHeld: {} });
  }
  const countLimited = () => hosts.filter((host) => host.getLimit('e1') !== undefined).length;
  const counts = [MAX_LIMIT_AGE_MS, 1000, 1000].map((ms) => {
    pass(ms);
    return countLimited();
  });
  t.same(counts, [2, 1, 0]);
  t.end();
});

t.test('counts the memory of all hosts, with what this one sends meanwhile', (t) => {
  const { openHost, openMeter } = openFleet();
  const [one, other] = [openHost(), openHost()];
  t.teardown(one.close);
  const request = {
    service: 'llm',
    ownTokens: 300,
    sharedParts: [{ key: 'm/form', tokens: 6300 }],
  };
  const first = one.holdMemory('e1', request);
  other.holdMemory('e1', request);
  const meter = openMeter();
  const reports = [
    { host: 'h1', concurrency: one.takeReport() },
    { host: 'h2', concurrency: other.takeReport() },
  ];
  meter.update(reports, {}, servers);
  one.applyView(meter.takeView('h1'));
  t.equal(one.getHeldTokens('e1'), 6900, 'the shared part once');
  const second = one.holdMemory('e1', request);
  second.addEvents(Buffer.from('id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\n\n'));
  t.equal(one.getHeldTokens('e1'), 7210);
  first.release();
  second.release();
  t.equal(one.getHeldTokens('e1'), 6600, 'the rest belongs to the other host');
  t.equal(openHost(0).takeReport(), undefined, 'nothing is reported while limits are off');
  t.end();
});

t.test('messages of older versions have no such fields', (t) => {
  const view = {
    type: 'view',
    fence: 1,
    version: 1,
    hosts: 1,
    loads: {},
    levels: {},
    shares: {},
    ownLoads: {},
    ownAdmitted: {},
    adapters: {},
    leavingModels: [],
    suspects: [],
    isCurrent: true,
    servers: [],
    removed: [],
  };
  const parsed = parseFleetMessage(view);
  t.ok(parsed.type === 'view' && parsed.concurrency === undefined);
  const isValid = (limits: unknown): boolean => {
    try {
      parseFleetMessage({ ...view, concurrency: { limits, held: {}, ownHeld: {} } });
      return true;
    } catch {
      return false;
    }
  };
  t.ok(isValid({ e1: [4, 1000] }));
  t.notOk(isValid({ e1: [-4, 1000] }));
  t.end();
});
