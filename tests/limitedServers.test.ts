import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import type { PlatformEngine, ReceivedRequest } from './support/platformEngine.js';
import {
  buildConfiguration,
  isHostReady,
  sendEvenly,
  startHost,
  startPlatformFleet,
  type PlatformFleet,
} from './support/platformFleet.js';
import { StoreMode } from './support/platformStore.js';
import { waitUntil } from './support/waitUntil.js';

const WINDOW_MS = 4000;
const NOTICE_MS = 3000; // time that hosts are given once a server names a limit
const LEADER_CONNECTION_MS = 600; // connections to all hosts and a first view

type LimitedFleet = PlatformFleet & { first: PlatformEngine; second: PlatformEngine };

async function startServers(t: Test, hosts: number): Promise<LimitedFleet> {
  const fleet = await startPlatformFleet(
    hosts,
    ['s1', 's2'].map((id) => ({ id, service: 'certs', serviceTimeMs: 100 })),
  );
  t.teardown(fleet.close);
  const [first, second] = fleet.engines as [PlatformEngine, PlatformEngine];
  await waitUntil('a host leads', () => fleet.store.read('bronzelanding/command') !== undefined);
  await wait(LEADER_CONNECTION_MS);
  return { ...fleet, first, second };
}

function setLimit(server: PlatformEngine, value: string | string[]): void {
  server.setExtraHeaders({ 'server-limit': value });
}

/** Sends requests to the hosts in turn, 40 a second, for a time; resolves to the statuses. */
async function sendFor(
  { hosts }: Pick<PlatformFleet, 'hosts'>,
  durationMs: number,
  path = '/lookup/1',
): Promise<number[]> {
  const endAtMs = performance.now() + durationMs;
  const statuses: Promise<number[]>[] = [];
  while (performance.now() < endAtMs) {
    statuses.push(
      sendEvenly({ hosts }, hosts.length, path).then((all) => all.map(({ status }) => status)),
    );
    await wait(25 * hosts.length);
  }
  return (await Promise.all(statuses)).flat();
}

/** Counts the most requests that arrived within one window, from a moment on. */
function countWorstWindow(requests: readonly ReceivedRequest[], fromMs: number): number {
  const arrivals = requests.map(({ atMs }) => atMs).filter((atMs) => atMs >= fromMs);
  return Math.max(
    0,
    ...arrivals.map(
      (startMs) => arrivals.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS).length,
    ),
  );
}

/** The most requests that a server with a limit may receive in one window. */
function computeAllowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1000 + 5;
}

t.test('sends a server no more than its limit, summed over all hosts', async (t) => {
  const fleet = await startServers(t, 3);
  setLimit(fleet.first, '2.0');
  const namedAtMs = performance.now();
  const statuses = await sendFor(fleet, 9000);
  t.ok(statuses.every((status) => status === 200));
  const worst = countWorstWindow(fleet.first.receivedRequests, namedAtMs + NOTICE_MS);
  t.ok(worst <= computeAllowed(2), `${worst} of ${computeAllowed(2)} in a window`);
  t.ok(worst >= 4, `${worst} requests in a window: it still receives half of what it takes`);
});

t.test('spares servers that register as cold, and uses them once they are warm', async (t) => {
  const fleet = await startServers(t, 3);
  const services = (buildConfiguration(2) as { services: { name: string }[] }).services;
  const cold = { cold_start_s: 5, cold_per_s: 2 };
  const changed = services.map((each) => (each.name === 'certs' ? { ...each, ...cold } : each));
  fleet.store.put('op/config', buildConfiguration(2, { services: changed }));
  await sendFor(fleet, 1000);
  const register = (remainingMs: number, sequence: number): void => {
    const change = { cold_remaining_ms: remainingMs, sequence };
    for (const server of fleet.engines)
      fleet.store.put(`servers/${server.id}`, server.buildRegistration(change));
  };
  register(5000, 2);
  const coldAtMs = performance.now();
  const sending = sendFor(fleet, 8000);
  for (const remainingMs of [3800, 2600]) {
    await wait(1200);
    register(remainingMs, 2 + (5000 - remainingMs) / 1200);
  }
  const statuses = await sending;
  t.ok(statuses.every((status) => status === 200 || status === 503));
  const seconds = Array.from({ length: 30 }, (_, index) => coldAtMs + 1000 + 100 * index);
  for (const { receivedRequests } of fleet.engines) {
    const countSince = (fromMs: number): number =>
      receivedRequests.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + 1000).length;
    const worst = Math.max(...seconds.map(countSince));
    t.ok(worst <= 1.5 * 2 + 5 && worst >= 1, `${worst} in a second while cold`);
    const warm = countSince(coldAtMs + 6800);
    t.ok(warm > 8, `${warm} in a second once it is warm`);
  }
});

t.test('follows a limit that changes, and its end', async (t) => {
  const fleet = await startServers(t, 2);
  setLimit(fleet.first, '8');
  await sendFor(fleet, 2000);
  setLimit(fleet.first, '1.5');
  const namedAtMs = performance.now();
  await sendFor(fleet, 8000);
  const worst = countWorstWindow(fleet.first.receivedRequests, namedAtMs + NOTICE_MS);
  t.ok(worst <= computeAllowed(1.5), `${worst} of ${computeAllowed(1.5)} in a window`);
  fleet.first.setExtraHeaders({});
  await sendFor(fleet, 2000);
  const before = fleet.first.receivedRequests.length;
  const statuses = await sendFor(fleet, 2000);
  const received = fleet.first.receivedRequests.length - before;
  const allowed = computeAllowed(1.5) / 2;
  t.ok(received > allowed, `${received} of ${statuses.length} once it has no limit`);
});

t.test('keeps to a limit while the leader changes and the store is away', async (t) => {
  const fleet = await startServers(t, 3);
  setLimit(fleet.first, '2.0');
  const namedAtMs = performance.now();
  await sendFor(fleet, 2000);
  const leader = (fleet.store.read('bronzelanding/command') as { holder: string }).holder;
  const index = Number(leader.split('-')[1]) - 1;
  const [stopped] = fleet.hosts.splice(index, 1);
  const stopping = stopped?.stop();
  await sendFor(fleet, 4000);
  fleet.store.setMode(StoreMode.busy);
  await sendFor(fleet, 3000);
  fleet.store.setMode(StoreMode.normal);
  await stopping;
  const late = await startHost(fleet.store, 'host-9');
  fleet.hosts.push(late);
  await waitUntil('the late host is ready', () => isHostReady(late));
  await sendFor(fleet, 4000);
  const worst = countWorstWindow(fleet.first.receivedRequests, namedAtMs + NOTICE_MS);
  t.ok(worst <= computeAllowed(2), `${worst} of ${computeAllowed(2)} in a window`);
  t.ok(worst >= 4, `${worst} requests in a window: it still receives half of what it takes`);
});

t.test('refuses in time what servers with limits cannot take', async (t) => {
  const fleet = await startServers(t, 2);
  for (const server of fleet.engines) setLimit(server, '4');
  const namedAtMs = performance.now();
  await sendFor(fleet, 3000);
  const startedAtMs = performance.now();
  const responses = await sendEvenly(fleet, 40);
  const elapsedMs = performance.now() - startedAtMs;
  t.ok(elapsedMs < 2500, `the last of them has an answer after ${elapsedMs} ms`);
  const refused = responses.filter(({ status }) => status === 503);
  t.ok(refused.length > 0);
  t.ok(responses.some(({ status }) => status === 200));
  for (const { headers } of refused) t.ok(Number(headers['retry-after']) > 0);
  await sendFor(fleet, 3000);
  for (const server of fleet.engines) {
    const worst = countWorstWindow(server.receivedRequests, namedAtMs + NOTICE_MS);
    t.ok(worst <= computeAllowed(4), `${worst} of ${computeAllowed(4)} in a window`);
  }
});

t.test('gives a server with a limit to urgent requests first', async (t) => {
  const fleet = await startServers(t, 2);
  const routes = (buildConfiguration(2) as { routes: { name: string; priority: number }[] }).routes;
  fleet.store.put(
    'op/config',
    buildConfiguration(2, {
      routes: routes.map((route) => ({ ...route, priority: route.name === '/lookup/' ? 0 : 2 })),
    }),
  );
  for (const server of fleet.engines) setLimit(server, '6');
  await sendFor(fleet, 3000);
  const [urgent, patient] = await Promise.all([
    sendFor(fleet, 5000, '/lookup/1'),
    sendFor(fleet, 5000, '/certs/1'),
  ]);
  const countServed = (statuses: readonly number[]): number =>
    statuses.filter((status) => status === 200).length;
  t.ok(countServed(urgent) > countServed(patient), 'more of the urgent ones are served');
});

t.test('reads odd limits', async (t) => {
  const fleet = await startServers(t, 1);
  for (const value of ['-1', 'NaN', 'Infinity', 'two', '', '1e-3']) {
    setLimit(fleet.first, value);
    const before = fleet.first.receivedRequests.length;
    await sendEvenly(fleet, 60);
    t.ok(fleet.first.receivedRequests.length - before > 10, `'${value}' is no limit`);
  }
  setLimit(fleet.first, '99999999999999999999');
  let before = fleet.first.receivedRequests.length;
  await sendEvenly(fleet, 60);
  t.ok(fleet.first.receivedRequests.length - before > 10, 'a huge limit');
  setLimit(fleet.first, ['50', '0']);
  await sendEvenly(fleet, 60);
  before = fleet.first.receivedRequests.length;
  await sendEvenly(fleet, 200);
  t.ok(fleet.first.receivedRequests.length - before <= 1, 'the least of several limits');
});
