import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { EngineBehaviour, type PlatformEngine } from './support/platformEngine.js';
import {
  isHostReady,
  sendEvenly,
  sendToHost,
  startHost,
  startPlatformFleet,
  type PlatformFleet,
  type TestHostOptions,
} from './support/platformFleet.js';
import { StoreMode } from './support/platformStore.js';
import { waitUntil } from './support/waitUntil.js';

const EVACUATE_MS = 2500;
const KEY = 'op/evacuate/b';
const IN_FORCE_MS = 600; // a watch of the leader, a view, and requests that were sent before
const LEADER_CONNECTION_MS = 600; // connections to all hosts and a first view
const OUTAGE_MS = 500;

type Fleet = PlatformFleet & { first: PlatformEngine; second: PlatformEngine };

/** Starts a fleet in data centre a with servers in c and b, so that its hosts prefer neither. */
async function startFleet(
  t: Test,
  hosts: number,
  service = 'certs',
  options: TestHostOptions = {},
): Promise<Fleet> {
  const models = service === 'llm' ? { oak: [] } : undefined;
  const fleet = await startPlatformFleet(
    hosts,
    ['c', 'b'].map((zone) => ({
      id: `s-${zone}`,
      zone,
      service,
      models,
      events: 10,
      eventIntervalMs: 60,
    })),
    { evacuationDelayMs: EVACUATE_MS, ...options },
  );
  t.teardown(fleet.close);
  const [first, second] = fleet.engines as [PlatformEngine, PlatformEngine];
  await waitUntil('a host leads', () => fleet.store.read('bronzelanding/command') !== undefined);
  await wait(LEADER_CONNECTION_MS);
  await waitUntil('the server of data centre b is used', async () => {
    await sendEvenly(fleet, 10, service === 'llm' ? '/chat/1' : undefined);
    return second.executedRequests.length > 0;
  });
  return { ...fleet, first, second };
}

/** Sends requests to a host at once, more than one server is given. */
function sendAtOnce(host: PlatformFleet['hosts'][number], count: number): Promise<unknown> {
  return Promise.all(Array.from({ length: count }, () => sendToHost(host, '/lookup/1')));
}

/** Counts the requests that a server receives while a task runs. */
async function countReceived(
  { receivedRequests }: PlatformEngine,
  task: () => Promise<unknown>,
): Promise<number> {
  const before = receivedRequests.length;
  await task();
  return receivedRequests.length - before;
}

t.test('sends nothing to an evacuated data centre until the key is removed', async (t) => {
  const fleet = await startFleet(t, 3);
  fleet.store.put(KEY, {});
  await wait(IN_FORCE_MS);
  const received = await countReceived(fleet.second, async () => {
    for (const { status } of await sendEvenly(fleet, 300)) t.equal(status, 200);
  });
  t.equal(received, 0);
  fleet.store.remove(KEY);
  await waitUntil('the server receives requests of each host', async () => {
    const counts: number[] = [];
    for (const host of fleet.hosts)
      counts.push(await countReceived(fleet.second, () => sendAtOnce(host, 10)));
    return counts.every((count) => count > 0);
  });
});

t.test('has no evacuations without the setting', async (t) => {
  const fleet = await startFleet(t, 1, 'certs', { evacuationDelayMs: undefined });
  fleet.store.put(KEY, {});
  await wait(IN_FORCE_MS);
  t.ok((await countReceived(fleet.second, () => sendEvenly(fleet, 60))) > 0);
});

t.test('an evacuation is in force at a host that starts later', async (t) => {
  const fleet = await startFleet(t, 1);
  fleet.store.put(KEY, {});
  await wait(IN_FORCE_MS);
  const late = await startHost(fleet.store, 'host-late', { evacuationDelayMs: EVACUATE_MS });
  fleet.hosts.push(late);
  const received = await countReceived(fleet.second, async () => {
    while (!(await isHostReady(late))) await sendEvenly({ hosts: [late] }, 2);
    for (const { status } of await sendEvenly({ hosts: [late] }, 60)) t.equal(status, 200);
  });
  t.equal(received, 0);
});

t.test('an evacuation is in force in time while the store fails at first', async (t) => {
  const fleet = await startFleet(t, 2);
  fleet.store.setMode(StoreMode.busy);
  fleet.store.put(KEY, {});
  await sendEvenly(fleet, 200);
  fleet.store.setMode(StoreMode.normal);
  await wait(EVACUATE_MS);
  t.equal(await countReceived(fleet.second, () => sendEvenly(fleet, 60)), 0);
});

t.test('a restore of the store from a copy without the key does not revoke it', async (t) => {
  const fleet = await startFleet(t, 2, 'certs', { storeEpoch: 3 });
  fleet.store.takeCopy();
  fleet.store.put(KEY, {});
  await wait(IN_FORCE_MS);
  const received = await countReceived(fleet.second, async () => {
    fleet.store.setMode(StoreMode.busy);
    await wait(OUTAGE_MS);
    fleet.store.restore();
    fleet.store.setMode(StoreMode.normal);
    const rewritten = wait(1900).then(fleet.store.rewrite);
    await sendEvenly(fleet, 800);
    await rewritten;
  });
  t.equal(received, 0);
});

t.test('an evacuation that is not written again after a restore ends', async (t) => {
  const fleet = await startFleet(t, 2, 'certs', { storeEpoch: 3 });
  fleet.store.takeCopy();
  fleet.store.put(KEY, {});
  await wait(IN_FORCE_MS);
  fleet.store.restore();
  await waitUntil('the server receives requests', async () => {
    return (await countReceived(fleet.second, () => sendEvenly(fleet, 20))) > 0;
  });
});

t.test('a request that waits for a server is not sent to it once it is evacuated', async (t) => {
  const fleet = await startFleet(t, 1);
  const pause = async (server: PlatformEngine): Promise<void> => {
    server.setExtraHeaders({ 'retry-after': '1' });
    server.setBehaviour(() => EngineBehaviour.refuse);
    await waitUntil('the server has turned a request away', async () => {
      await sendEvenly(fleet, 4);
      return server.receivedRequests.some(({ isRefused }) => isRefused);
    });
    server.setExtraHeaders({});
    server.setBehaviour(() => EngineBehaviour.serve);
  };
  fleet.store.remove('servers/s-c');
  await wait(1500);
  await pause(fleet.second);
  const received = await countReceived(fleet.second, async () => {
    const waiting = sendEvenly(fleet, 5);
    await wait(100);
    fleet.store.put(KEY, {});
    for (const { status } of await waiting) t.equal(status, 503);
  });
  t.equal(received, 0);
});

t.test(
  'a request that has a reservation is not sent to a server once it is evacuated',
  async (t) => {
    const fleet = await startFleet(t, 1);
    const [host] = fleet.hosts as [PlatformFleet['hosts'][number]];
    fleet.store.remove('servers/s-c');
    fleet.second.setExtraHeaders({ 'server-limit': '2' });
    await wait(1500);
    const sendAtOnceOver = async (): Promise<number> => {
      const before = fleet.second.receivedRequests.length;
      await sendAtOnce(host, 6);
      return fleet.second.receivedRequests.length - before;
    };
    await waitUntil('the host knows the limit', async () => (await sendAtOnceOver()) < 6);
    await wait(600);
    const waiting = sendAtOnce(host, 6);
    await wait(50);
    fleet.store.put(KEY, {});
    await wait(200);
    t.equal(await countReceived(fleet.second, () => waiting), 0);
  },
);

t.test('running streams end normally, and none is resumed in the data centre', async (t) => {
  const fleet = await startFleet(t, 1, 'llm');
  const running = sendEvenly(fleet, 10, '/chat/1');
  await wait(300);
  t.ok(fleet.second.executedRequests.length > 0, 'streams run there');
  fleet.store.put(KEY, {});
  for (const { body } of await running) t.match(body, /id: 10/);
  await wait(IN_FORCE_MS);
  const third = await fleet.addEngine({ id: 's-c2', zone: 'c', models: { oak: [] }, events: 10 });
  await waitUntil('the third engine is used', async () => {
    await sendEvenly(fleet, 10, '/chat/1');
    return third.executedRequests.length > 0;
  });
  fleet.first.setBehaviour(() => EngineBehaviour.truncateResponse);
  const received = await countReceived(fleet.second, async () => {
    for (const { isComplete } of await sendEvenly(fleet, 20, '/plan/1')) t.ok(isComplete);
  });
  t.equal(received, 0);
});

t.test('engines there get no orders, and their models are loaded elsewhere', async (t) => {
  const fleet = await startPlatformFleet(
    2,
    [
      { id: 's-c', zone: 'c', models: { oak: [] } },
      { id: 's-b', zone: 'b', models: { pine: [] } },
    ],
    { evacuationDelayMs: EVACUATE_MS },
  );
  t.teardown(fleet.close);
  const [first, second] = fleet.engines as [PlatformEngine, PlatformEngine];
  fleet.store.put(KEY, {});
  await wait(IN_FORCE_MS);
  const ordersBefore = second.receivedOrders.length;
  const [host] = fleet.hosts as [PlatformFleet['hosts'][number]];
  const sendFor = (model: string) => sendToHost(host, '/chat/1', { headers: { model } });
  const received = await countReceived(second, async () => {
    await waitUntil('the model is loaded elsewhere', async () => {
      await sendFor('pine');
      return first.orders.some(({ model }) => model === 'pine');
    });
    await wait(300);
    fleet.store.put('servers/s-c', first.buildRegistration({ sequence: 2 }));
    await waitUntil('it is served there', async () => (await sendFor('pine')).status === 200);
    await waitUntil('an adapter is loaded', async () => (await sendFor('oak/a1')).status === 200);
  });
  t.equal(received, 0);
  t.equal(second.receivedOrders.length - ordersBefore, 0);
});

t.test('metrics show the evacuated data centres and what still runs there', async (t) => {
  const fleet = await startFleet(t, 1, 'llm');
  const [host] = fleet.hosts as [PlatformFleet['hosts'][number]];
  const readMetrics = async (): Promise<string> =>
    (await fetch(`http://127.0.0.1:${host.metricsPort}/metrics`)).text();
  t.notMatch(await readMetrics(), /bronzelanding_evacuated\{/);
  const running = sendEvenly(fleet, 10, '/chat/1');
  await wait(200);
  fleet.store.put(KEY, {});
  await waitUntil('metrics show the data centre', async () =>
    (await readMetrics()).includes('bronzelanding_evacuated{data_centre="b"} 1'),
  );
  t.match(await readMetrics(), /bronzelanding_evacuated_requests_running\{data_centre="b"\} [1-9]/);
  await running;
  t.match(await readMetrics(), /bronzelanding_evacuated_requests_running\{data_centre="b"\} 0/);
  fleet.store.remove(KEY);
  await waitUntil(
    'metrics show none',
    async () => !(await readMetrics()).includes('bronzelanding_evacuated{'),
  );
});
