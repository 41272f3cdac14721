import t from 'tap';
import {
  buildConfiguration,
  API_KEY,
  isHostReady,
  sendToHost,
  startHost,
  startPlatformFleet,
} from './support/platformFleet.js';
import { StoreMode } from './support/platformStore.js';
import { waitUntil } from './support/waitUntil.js';

const certs = (id: string) => ({ id, service: 'certs' });
const oak = (id: string, adapters: string[] = []) => ({ id, models: { oak: adapters } });

t.test('has an adapter loaded that no engine holds, by one holder of the command', async (t) => {
  const fleet = await startPlatformFleet(3, [oak('e1', ['a1']), oak('e2')]);
  t.teardown(fleet.close);
  const ask = async (adapter: string, index: number) => {
    const host = fleet.hosts[index % 3] ?? fleet.hosts[0];
    if (host === undefined) throw new Error('no host');
    return sendToHost(host, '/chat/1', { body: 'x', headers: { model: `oak/${adapter}` } });
  };
  await waitUntil('an adapter is loaded', async () => (await ask('a2', 0)).status === 200);
  for (let index = 0; index < 12; index += 1)
    await waitUntil(
      'a turn is served',
      async () => (await ask(`a${index % 6}`, index)).status === 200,
    );
  const orders = fleet.engines.flatMap(({ executedOrders: list }) => list);
  t.equal(new Set(orders.map(({ holder }) => holder)).size, 1);
  t.equal(new Set(orders.map(({ fence }) => fence)).size, 1);
  for (const engine of fleet.engines) t.ok((engine.models.get('oak')?.size ?? 0) <= 2);
});

t.test('hands the command on after a planned stop, with a higher fence', async (t) => {
  const fleet = await startPlatformFleet(2, [oak('e1')]);
  t.teardown(fleet.close);
  const read = () => fleet.store.read('bronzelanding/command') as { holder: string } | undefined;
  await waitUntil('somebody holds the command', () => read() !== undefined);
  const first = read()?.holder;
  const leaving = fleet.hosts.findIndex((_, index) => `host-${index + 1}` === first);
  const [host] = fleet.hosts.splice(leaving, 1);
  const stopped = host?.stop();
  const holders = new Set<string>();
  await waitUntil('it has given the command up', () => read() === undefined);
  await waitUntil('another host holds the command', () => {
    const holder = read()?.holder;
    if (holder !== undefined) holders.add(holder);
    return holder !== undefined;
  });
  await stopped;
  t.notOk(holders.has(first ?? ''), 'a stopping host takes no command');
  const [left] = fleet.hosts as [(typeof fleet.hosts)[number]];
  await waitUntil('it orders', async () => {
    const answer = await sendToHost(left, '/chat/1', { body: 'x', headers: { model: 'oak/a7' } });
    return answer.status === 200;
  });
  t.ok(fleet.engines[0]?.models.get('oak')?.has('a7'));
});

t.test('sends nothing to a server that leaves or is gone', async (t) => {
  const fleet = await startPlatformFleet(2, [certs('c1'), certs('c2')]);
  t.teardown(fleet.close);
  const [c1, c2] = fleet.engines as [
    (typeof fleet.engines)[number],
    (typeof fleet.engines)[number],
  ];
  const askAll = async (): Promise<void> => {
    for (const host of fleet.hosts)
      for (let index = 0; index < 6; index += 1) await sendToHost(host, '/certs/1', { body: 'x' });
  };
  fleet.store.put('servers/c1', c1.buildRegistration({ state: 'draining' }));
  const isLeft = async (engine: typeof c1): Promise<boolean> => {
    const before = engine.executedRequests.length;
    await askAll();
    return engine.executedRequests.length === before;
  };
  await waitUntil('c1 gets nothing', () => isLeft(c1));
  t.ok(await isLeft(c1));
  fleet.store.put('servers/c1', c1.buildRegistration());
  fleet.store.remove('servers/c2');
  await waitUntil('c2 gets nothing', () => isLeft(c2));
  t.ok(await isLeft(c2));
});

t.test(
  'takes new versions, never an older one, and keeps the last through an outage',
  async (t) => {
    const fleet = await startPlatformFleet(2, [certs('c1')]);
    t.teardown(fleet.close);
    const [one] = fleet.hosts as [(typeof fleet.hosts)[number]];
    const isKeyGone = async () =>
      (
        await Promise.all(fleet.hosts.map((host) => sendToHost(host, '/certs/1', { body: 'x' })))
      ).every(({ status }) => status === 401);
    fleet.store.put('op/config', buildConfiguration(5, { tenants: [] }));
    await waitUntil('the key is gone everywhere', isKeyGone);
    fleet.store.put('op/config', buildConfiguration(4));
    fleet.store.put('op/config', 'not a configuration');
    fleet.store.compact();
    t.ok(await isKeyGone());
    fleet.store.setMode(StoreMode.busy);
    t.ok(await isKeyGone());
    fleet.store.setMode(StoreMode.normal);
    fleet.store.put('op/config', buildConfiguration(6));
    await waitUntil('version 6 is in force', async () => {
      const answer = await sendToHost(one, '/certs/1', { body: 'x' });
      return answer.status === 200;
    });
  },
);

t.test('is not ready without a configuration, and answers 503', async (t) => {
  const fleet = await startPlatformFleet(0, [certs('c1')]);
  t.teardown(fleet.close);
  fleet.store.remove('op/config');
  const host = await startHost(fleet.store, 'early');
  fleet.hosts.push(host);
  t.equal(await isHostReady(host), false);
  const answer = await sendToHost(host, '/certs/1', { body: 'x' });
  t.equal(answer.status, 503);
  fleet.store.put('op/config', buildConfiguration(1));
  await waitUntil('it is ready', () => isHostReady(host));
});

t.test('ignores entries that name no server', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  const [c1] = fleet.engines as [(typeof fleet.engines)[number]];
  fleet.store.put('servers/bad1', 'nothing to read');
  fleet.store.put('servers/bad2', c1.buildRegistration({ slots: 'many' }));
  fleet.store.put('servers/bad3', c1.buildRegistration({ address: 'example:80' }));
  fleet.store.put('servers/c9', c1.buildRegistration());
  fleet.store.put('servers/c9', c1.buildRegistration({ state: 'dozing' }));
  for (let index = 0; index < 20; index += 1) {
    const answer = await sendToHost(host, '/certs/1', { body: 'x' });
    t.match(answer, { status: 200, body: /by c1$/ });
  }
});

t.test('finishes what runs in a planned stop, and takes what comes meanwhile', async (t) => {
  const fleet = await startPlatformFleet(1, [
    { id: 'e1', models: { oak: [] }, eventsPerStream: 18, eventIntervalMs: 150 },
    certs('c1'),
  ]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts.splice(0) as [(typeof fleet.hosts)[number]];
  const running = sendToHost(host, '/chat/1', { body: 'x', headers: { 'deadline-ms': '6000' } });
  await waitUntil('the stream runs', () => fleet.engines[0]?.executedRequests.length === 1);
  const stopped = host.stop();
  t.equal(await isHostReady(host), false);
  const late = await sendToHost(host, '/certs/1', { body: 'x' });
  t.equal(late.status, 200);
  t.equal(late.headers.connection, 'close');
  const answer = await running;
  t.equal(answer.isComplete, true);
  t.match(answer.body, 'piece 18');
  await stopped;
});

t.test('serves its metrics as text', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  await sendToHost(host, '/certs/1', { body: 'x' });
  const answer = await fetch(`http://127.0.0.1:${host.metricsPort}/metrics`);
  const text = await answer.text();
  t.match(text, 'bronzelanding_requests_total{route="/certs/",status="200",reason="served"} 1');
  t.notMatch(text, API_KEY);
});
