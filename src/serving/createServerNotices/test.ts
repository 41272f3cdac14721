import t from 'tap';
import type { BackendServer } from '../../ports/serving.js';
import { createServerNotices } from './index.js';
import type { ServerNotices } from './types.js';

const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const SOURCE = { requestId: 'r1', sentAtMs: 0 };
let nowMs = 0;
const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
const buildServer = (id: string, born = 1, isLeaving = false): BackendServer => ({
  id,
  service: 'llm',
  address: '127.0.0.1',
  port: 1,
  dataCentre: 'a',
  slots: 8,
  isLeaving,
  models: [],
  incarnation: `${id}/${born}`,
});
const buildServers = (...servers: BackendServer[]): Map<string, BackendServer> =>
  new Map(servers.map((server) => [server.id, server]));

function listLeaving(servers: ReadonlyMap<string, BackendServer>): string[] {
  return [...servers.values()].filter(({ isLeaving }) => isLeaving).map(({ id }) => id);
}

t.test('a leave outlasts registrations, also absent ones, but not the incarnation', (t) => {
  const notices = createServerNotices({ clock, log });
  const ready = buildServers(buildServer('s1'), buildServer('s2'));
  notices.record(buildServer('s1'), { isLeaving: true, pauseMs: 0 }, SOURCE);
  t.same(listLeaving(notices.applyTo(ready)), ['s1']);
  notices.record(buildServer('s1'), { isLeaving: false, pauseMs: 0 }, SOURCE);
  notices.applyTo(new Map());
  t.same(listLeaving(notices.applyTo(ready)), ['s1']);
  t.same(listLeaving(notices.applyTo(buildServers(buildServer('s1', 2)))), []);
  t.same(listLeaving(notices.applyTo(ready)), ['s1'], 'an older registration');
  t.end();
});

t.test('a registered leave is not taken back by an older registration', (t) => {
  const notices = createServerNotices({ clock, log });
  notices.applyTo(buildServers(buildServer('s1', 1, true)));
  t.same(listLeaving(notices.applyTo(buildServers(buildServer('s1')))), ['s1']);
  t.end();
});

t.test('lists what the registrations do not say yet', (t) => {
  const notices = createServerNotices({ clock, log });
  let calls = 0;
  notices.onChange(() => {
    calls += 1;
  });
  notices.recordLeaving(['s1/1', 's3/1']);
  notices.recordLeaving(['s1/1']);
  t.equal(calls, 1);
  notices.applyTo(buildServers(buildServer('s1'), buildServer('s2')));
  t.same(notices.listUnregistered(), ['s1/1']);
  notices.applyTo(buildServers(buildServer('s1', 1, true), buildServer('s2')));
  t.same(notices.listUnregistered(), []);
  t.end();
});

t.test('keeps a bounded number of leaves', (t) => {
  const notices = createServerNotices({ clock, log });
  notices.recordLeaving(Array.from({ length: 20_000 }, (_, index) => `old/${index}`));
  t.same(listLeaving(notices.applyTo(buildServers(buildServer('old', 19_999)))), ['old']);
  t.same(listLeaving(notices.applyTo(buildServers(buildServer('old', 0)))), []);
  t.end();
});

t.test('extends a pause, and never shortens it', (t) => {
  const notices = createServerNotices({ clock, log });
  const recordPause = (pauseMs: number): void =>
    notices.record(buildServer('s1'), { isLeaving: false, pauseMs }, SOURCE);
  nowMs = 1000;
  recordPause(3000);
  nowMs = 2000;
  t.equal(notices.getPauseMs('s1/1'), 2000);
  recordPause(500);
  recordPause(0);
  t.equal(notices.getPauseMs('s1/1'), 2000);
  t.equal(notices.getPauseMs('s1/2'), 0, 'another incarnation');
  recordPause(2500);
  t.equal(notices.getPauseMs('s1/1'), 2500);
  nowMs = 5000;
  t.equal(notices.getPauseMs('s1/1'), 0);
  t.end();
});

t.test('reports a limit once, until it changes or another leader asks', (t) => {
  const notices = createServerNotices({ clock, log });
  nowMs = 1000;
  const recordLimit = (requestsPerSecond: number, sentAtMs: number): void =>
    notices.record(
      buildServer('s1'),
      { isLeaving: false, pauseMs: 0, requestsPerSecond },
      { requestId: 'r1', sentAtMs },
    );
  recordLimit(2, 900);
  t.equal(notices.getRequestLimit('s1/1'), 2);
  t.equal(notices.getRequestLimit('s1/2'), Infinity, 'another incarnation');
  t.equal(notices.takeChangedLimits().size, 1);
  nowMs = 1100;
  recordLimit(2, 1050);
  t.equal(notices.takeChangedLimits().size, 0);
  notices.resetTaken();
  t.equal(notices.takeChangedLimits().size, 1);
  nowMs = 1200;
  recordLimit(Infinity, 1050);
  t.equal(notices.getRequestLimit('s1/1'), 2, 'a response to an earlier request');
  recordLimit(Infinity, 1150);
  t.equal(notices.getRequestLimit('s1/1'), Infinity);
  t.equal(notices.takeChangedLimits().get('s1/1')?.perSecond, Infinity);
  t.equal(notices.getLimits().size, 1, 'the end is passed on');
  nowMs = 10_000;
  notices.applyTo(buildServers(buildServer('s1')));
  t.equal(notices.getLimits().size, 0);
  t.end();
});

t.test('drops the limit of a server that is gone, not of one without requests', (t) => {
  const notices = createServerNotices({ clock, log });
  nowMs = 0;
  notices.record(
    buildServer('s1'),
    { isLeaving: false, pauseMs: 0, requestsPerSecond: 0 },
    { requestId: 'r1', sentAtMs: 0 },
  );
  nowMs = 60_000;
  notices.applyTo(buildServers(buildServer('s1')));
  t.equal(notices.getRequestLimit('s1/1'), 0);
  notices.applyTo(buildServers(buildServer('s1', 2)));
  t.equal(notices.getRequestLimit('s1/1'), Infinity);
  t.equal(notices.getLimits().size, 0);
  t.end();
});

function createColdNotices(coldRequestsPerSecond = 10): ServerNotices {
  const notices = createServerNotices({ clock, log, random: () => 0.5 });
  const service = { name: 'llm', maximumConnections: 9, coldStartMs: 8000, coldRequestsPerSecond };
  const limits = { headerTimeoutMs: 1, idleTimeoutMs: 1, maximumHeaderBytes: 1 };
  notices.setConfiguration({
    version: 1,
    routes: [],
    services: new Map([['llm', service]]),
    limits: { ...limits, maximumBodyBytes: 1 },
  });
  return notices;
}
const register = (notices: ServerNotices, renewals: number, coldRemainingMs: number, born = 1) =>
  notices.applyTo(buildServers({ ...buildServer('s1', born), renewals, coldRemainingMs }));

t.test('a cold server has the lower limit until it is warm, by incarnation', (t) => {
  const notices = createColdNotices();
  nowMs = 0;
  t.equal(register(notices, 1, 5000).get('s1')?.warmAtMs, 5000);
  t.equal(notices.getRequestLimit('s1/1'), 8);
  t.equal(notices.getRequestLimit('s1/1', 5000), Infinity, 'in 5 s');
  t.equal(notices.getRequestLimit('s1/2'), Infinity, 'another incarnation');
  const ownLimit = { isLeaving: false, pauseMs: 0, requestsPerSecond: 3 };
  notices.record(buildServer('s1'), ownLimit, SOURCE);
  t.equal(notices.getRequestLimit('s1/1'), 3);
  nowMs = 1200;
  register(notices, 2, 3800);
  register(notices, 1, 0);
  t.equal(notices.getColdMs('s1/1'), 3800, 'an older registration ends nothing');
  nowMs = 5000;
  t.equal(notices.countCold(), 0);
  t.equal(notices.getRequestLimit('s1/1'), 3);
  t.equal(notices.getShiftedColdMs('s1/1'), 750, 'this host returns to it later than others');
  t.end();
});

t.test('a service without cold requests per second has no limit for cold servers', (t) => {
  nowMs = 0;
  const notices = createColdNotices(0);
  register(notices, 1, 5000);
  t.equal(notices.getRequestLimit('s1/1'), Infinity);
  t.equal(notices.countCold(), 1);
  const off = createServerNotices({ clock, log });
  t.equal(register(off, 1, 5000).get('s1')?.warmAtMs, 5000, 'passed on to other hosts');
  t.equal(off.getColdMs('s1/1'), 0, 'its service has no cold starts');
  t.end();
});

t.test('a server that turns cold says so in a response, and other hosts are told', (t) => {
  const [host, leader] = [createColdNotices(), createColdNotices()];
  let changes = 0;
  leader.onChange(() => {
    changes += 1;
  });
  nowMs = 1000;
  for (const notices of [host, leader]) register(notices, 1, 0);
  const cold = { isLeaving: false, pauseMs: 0, coldMs: 6000 };
  host.record(buildServer('s1'), cold, { requestId: 'r1', sentAtMs: 900 });
  leader.recordColdTimes(host.takeChangedColdTimes());
  t.equal(changes, 1);
  nowMs = 1100;
  t.equal(register(leader, 2, 0).get('s1')?.warmAtMs, 7000, 'the registration was written before');
  t.equal(leader.getRequestLimit('s1/1'), 8);
  t.equal(leader.getColdAgeMs('s1/1'), 100);
  t.end();
});

t.test('a host that cannot tell what has turned cold keeps to the limit of cold servers', (t) => {
  const notices = createColdNotices();
  nowMs = 10_000;
  register(notices, 1, 0);
  let [listAgeMs, isLed] = [500, true];
  notices.setContact({ getListAgeMs: () => listAgeMs, isLed: () => isLed });
  t.notOk(notices.isCold('s1/1'));
  notices.recordDisconnection('s1/1');
  t.ok(notices.isCold('s1/1'), 'a new process may have taken its place');
  nowMs = 11_500;
  t.notOk(notices.isCold('s1/1'), 'the list is from after its registration');
  nowMs = 20_000;
  [listAgeMs, isLed] = [4000, false];
  t.ok(notices.isCold('s1/1'), 'no leader, and a list of before');
  isLed = true;
  t.notOk(notices.isCold('s1/1'));
  t.end();
});

t.test(
  'servers of a data centre count as cold after its evacuation, until the list is newer',
  (t) => {
    const [notices, uncapped] = [createColdNotices(), createColdNotices(0)];
    nowMs = 10_000;
    for (const each of [notices, uncapped]) register(each, 1, 0);
    let listAgeMs = 200;
    notices.setContact({ getListAgeMs: () => listAgeMs, isLed: () => true });
    notices.recordRevocations(['b']);
    t.notOk(notices.isCold('s1/1'), 'of another data centre');
    for (const each of [notices, uncapped]) each.recordRevocations(['a']);
    t.ok(notices.isCold('s1/1'));
    t.equal(notices.getRequestLimit('s1/1'), 8);
    t.notOk(uncapped.isCold('s1/1'), 'its service has no limit for cold servers');
    nowMs = 12_900; // 2 s and the random part of this host, 0.75 s, with a list that is 0.2 s old
    t.ok(notices.isCold('s1/1'), 'the list may lack a registration that was written since');
    listAgeMs = 50;
    t.notOk(notices.isCold('s1/1'));
    t.end();
  },
);
