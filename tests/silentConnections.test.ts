// Connections that go silent for good, without a reset, while new ones work.
import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { encodeFrame } from '#dist/adapters/peer/frames.js';
import {
  createFleetTransport,
  type FleetConnection,
  type FleetTransport,
} from '#dist/serving/createFleetTransport/index.js';
import type { FleetMessage } from '#dist/serving/fleetMessages.js';
import { startFleetLeader, type FleetLeaderOptions } from '#dist/serving/startFleetLeader/index.js';
import { startSilentProxy } from './support/silentProxy.js';
import { waitUntil } from './support/waitUntil.js';

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
const ROUND_MS = 100;
const CONTACT_MS = 3000; // the bound of the deployments

/** Starts a leader and one host, which send to each other in rounds as the members of a fleet do. */
async function startPair(t: Test) {
  const state = {
    toHost: 0,
    toLeader: 0,
    lost: 0,
    hostConnections: [] as FleetConnection[],
    isLeaderSending: true,
    isHostSending: true,
  };
  const levels: FleetMessage = { type: 'levels', levels: {}, ownAdmitted: {}, shares: {} };
  const create = (self: string): FleetTransport =>
    createFleetTransport({
      self,
      log: silentLog,
      onHostMessage: () => (state.toLeader += 1),
      onHostConnected: (_, connection) => state.hostConnections.push(connection),
      onHostDisconnected: () => undefined,
      onLeaderConnected: () => undefined,
      onLeaderMessage: () => (state.toHost += 1),
      onLeaderDisconnected: () => (state.lost += 1),
    });
  const host = create('host');
  const leader = create('leader');
  const proxy = await startSilentProxy(t, await host.listen('127.0.0.1', 0));
  leader.setHosts([{ name: 'host', address: '127.0.0.1', port: proxy.port, linkMbps: 1000 }]);
  leader.setLeadership(1);
  const timer = setInterval(() => {
    if (state.isHostSending) host.sendToLeader(levels);
    if (state.isLeaderSending) state.hostConnections.at(-1)?.send(levels);
  }, ROUND_MS);
  t.teardown(() => {
    clearInterval(timer);
    leader.close();
    host.close();
  });
  await waitUntil('both ends receive', () => state.toHost > 3 && state.toLeader > 3);
  return { state, proxy };
}

// Both ends write, so a time-out that restarts with each write kept such a connection for good.
t.test('a connection that has gone silent is replaced within contact_ms', async (t) => {
  const { state, proxy } = await startPair(t);
  proxy.silence();
  const { toHost, toLeader } = state;
  await wait(CONTACT_MS);
  t.ok(state.toHost > toHost + 2, 'the host is sent to');
  t.ok(state.toLeader > toLeader + 2, 'the leader is sent to');
  t.equal(state.lost, 0, 'the new connection is opened before the old one is given up');
});

// The leader may end or lose its own end; the host must not wait for views on the other for good.
t.test('a host gives up a connection on which it receives nothing', async (t) => {
  const { state } = await startPair(t);
  state.isLeaderSending = false;
  await wait(CONTACT_MS);
  t.ok(state.lost > 0);
});

t.test('a host that does not answer is not sent one connection after another', async (t) => {
  const { state, proxy } = await startPair(t);
  state.isHostSending = false;
  await wait(CONTACT_MS + 1000);
  t.ok(proxy.countAccepted() > 1 && proxy.countAccepted() <= 4, `${proxy.countAccepted()}`);
});

t.test('a sound connection is kept', async (t) => {
  const { state, proxy } = await startPair(t);
  await wait(CONTACT_MS);
  t.equal(proxy.countAccepted(), 1);
  t.equal(state.lost, 0);
});

// Bytes that an earlier connection held up may arrive after those of its successor.
t.test('a connection that its leader has replaced does not take over again', async (t) => {
  const received: string[] = [];
  const host = createFleetTransport({
    self: 'host',
    log: silentLog,
    onHostMessage: () => undefined,
    onHostConnected: () => undefined,
    onHostDisconnected: () => undefined,
    onLeaderConnected: () => undefined,
    onLeaderMessage: (message) => received.push(message.type),
    onLeaderDisconnected: () => received.push('lost'),
  });
  t.teardown(() => host.close());
  const port = await host.listen('127.0.0.1', 0);
  const openAs = async (fence: number, number?: number) => {
    const socket = connect({ host: '127.0.0.1', port });
    socket.on('error', () => undefined);
    t.teardown(() => socket.destroy());
    socket.write(encodeFrame({ type: 'command', host: 'leader', fence, number }));
    await wait(ROUND_MS);
    return socket;
  };
  const next = await openAs(4, 2);
  for (const late of [await openAs(4, 1), await openAs(3, 9)]) {
    late.write(encodeFrame({ type: 'configurationRequest' }));
    await wait(ROUND_MS);
    t.ok(late.closed);
  }
  next.write(encodeFrame({ type: 'levels', levels: {}, ownAdmitted: {}, shares: {} }));
  await wait(ROUND_MS);
  t.same(received, ['levels']);
  const unnumbered = await openAs(4);
  t.notOk(unnumbered.closed, 'earlier versions send no number');
});

// A report from the earlier connection of a host would take back its loads.
t.test('a report that is older than the last one of its host is ignored', (t) => {
  const leader = startFleetLeader({
    clock: { monotonicMs: () => 0, wallMs: () => 0 },
    log: silentLog,
    fence: 4,
    levels: new Map(),
    serverNotices: { getPauseMs: () => 0, getRequestLimit: () => Infinity, getLimits: () => [] },
    evacuations: { isEvacuated: () => false, encode: () => undefined },
    savedPartGroups: [],
    lastRegisteredAtMs: new Map(),
    listAge: { getAgeMs: () => 0 },
    load: { maximumRefusedShare: 0, concurrencyLateShare: 0 },
    admission: { getKeptLevels: () => new Map() },
    concurrency: { listLimits: () => new Map() },
  } as unknown as FleetLeaderOptions);
  t.teardown(() => leader.stop());
  const report = (number: number, active: number, incarnation = 'h1/1') =>
    leader.recordReport({
      type: 'report',
      host: 'h1',
      incarnation,
      number,
      version: 1,
      loads: { e1: [active, 0, 0, 0] },
      admitted: {},
      shares: {},
      demand: {},
      requests: {},
      inUse: [],
      silent: [],
      unreachable: [],
      leaving: [],
      limits: [],
      cold: [],
      paces: {},
      crashes: [],
      servedParts: [],
    });
  const readActive = () => leader.prepareViews(1, true)('h1').loads.e1?.[0];
  report(5, 7);
  report(4, 3);
  t.equal(readActive(), 7);
  report(1, 2, 'h1/2');
  t.equal(readActive(), 2, 'a host that has started again counts from 1');
  t.end();
});
