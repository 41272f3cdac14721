import t from 'tap';
import { EngineFate } from './support/platformEngine.js';
import {
  buildConfiguration,
  KEY,
  readReady,
  sendTo,
  startHost,
  startPlatformFleet,
} from './support/platformFleet.js';
import { StoreMood } from './support/platformStore.js';
import { waitUntil } from './support/waitUntil.js';

const certs = (id: string) => ({ id, service: 'certs' });
const oak = (id: string, adapters: string[] = []) => ({ id, models: { oak: adapters } });

t.test('passes requests and answers on byte for byte', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  const answer = await sendTo(host, '/certs/new?lot=7%2F8', {
    id: 'x1',
    body: '{"load":"oak"}',
    headers: { 'x-own': 'kept', tenant: 'somebody-else', 'kv-from': '1.2.3.4/5', hold: 'h' },
  });
  t.equal(answer.status, 200);
  t.equal(answer.body, 'answer to x1 by c1');
  t.equal(answer.headers['server-seal'], 'seal-c1');
  const seen = fleet.engines[0]?.ran[0];
  t.equal(seen?.target, '/certs/new?lot=7%2F8');
  t.equal(seen?.body, '{"load":"oak"}');
  t.match(seen?.headers, { tenant: 'depots', 'x-own': 'kept', 'expect-instance': 'c1' });
  t.ok(Number(seen?.headers['deadline-ms']) <= 3000);
  for (const name of ['authorization', 'kv-from', 'hold']) t.notOk(seen?.headers[name], name);
});

t.test('turns away what no route or key allows, and asks nobody', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  t.equal((await sendTo(host, '/nowhere/')).status, 404);
  t.equal(
    (await sendTo(host, '/certs/1', { headers: { authorization: 'Bearer no' } })).status,
    401,
  );
  t.equal((await sendTo(host, '/certs/1', { body: 'x'.repeat(100_001) })).status, 413);
  t.equal(
    (await sendTo(host, '/certs/1', { headers: { 'x-long': 'x'.repeat(17_000) } })).status,
    431,
  );
  t.equal(fleet.engines[0]?.ran.length, 0);
});

t.test('runs a request once, and says when its outcome is not known', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1'), certs('c2')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  for (const fate of [EngineFate.lose, EngineFate.foreign, EngineFate.unsigned, EngineFate.cut]) {
    for (const engine of fleet.engines) engine.setFate(() => fate);
    const answer = await sendTo(host, '/certs/1', { id: fate, body: 'x' });
    t.ok(answer.status === 502 || !answer.isWhole, `${fate}: ${answer.status}`);
    const runs = fleet.engines.flatMap(({ ran }) => ran).filter(({ id }) => id === fate);
    t.equal(runs.length, 1, fate);
  }
});

t.test(
  'sends a request to another server after a refusal, and refuses when all refuse',
  async (t) => {
    const fleet = await startPlatformFleet(1, [certs('c1'), certs('c2')]);
    t.teardown(fleet.close);
    const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
    fleet.engines[0]?.setFate(() => EngineFate.refuse);
    for (let index = 0; index < 10; index += 1)
      t.equal((await sendTo(host, '/certs/1', { body: 'x' })).status, 200);
    fleet.engines[1]?.setFate(() => EngineFate.refuse);
    const answer = await sendTo(host, '/certs/1', { id: 'refused', body: 'x' });
    t.equal(answer.status, 503);
    t.ok(Number(answer.headers['retry-after']) > 0);
    t.notOk(fleet.engines.some(({ ran }) => ran.some(({ id }) => id === 'refused')));
  },
);

t.test('repeats a lookup whose server lost the answer, failed or says nothing', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1'), certs('c2')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  for (const fate of [EngineFate.lose, EngineFate.error, EngineFate.hang]) {
    const failed = new Set<string>();
    for (const engine of fleet.engines)
      engine.setFate(({ id }) => {
        if (failed.has(id)) return EngineFate.serve;
        failed.add(id);
        return fate;
      });
    const answer = await sendTo(host, '/lookup/1', { id: `look-${fate}`, method: 'GET' });
    t.equal(answer.status, 200, fate);
    t.match(answer.body, `answer to look-${fate}`);
  }
});

t.test('takes no bytes of a second answer for an answer', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setFate(() => EngineFate.extra);
  for (let index = 0; index < 8; index += 1) {
    const answer = await sendTo(host, '/lookup/1', { id: `e${index}`, method: 'GET' });
    t.equal(answer.body, `answer to e${index} by c1`);
    t.equal(answer.headers['server-seal'], 'seal-c1');
  }
});

t.test('passes on an answer that ends with its connection', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setFate(() => EngineFate.unframed);
  const answer = await sendTo(host, '/certs/1', { id: 'u1', body: 'x' });
  t.match(answer, { status: 200, body: 'answer to u1 by c1', isWhole: true });
});

t.test('does not take a reset for the end of an answer without a length', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setFate(() => EngineFate.reset);
  t.equal((await sendTo(host, '/certs/1', { body: 'x' })).isWhole, false);
});

t.test('cuts a stream that its engine cut, and never makes it look whole', async (t) => {
  const fleet = await startPlatformFleet(1, [oak('e1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  t.match(await sendTo(host, '/chat/1', { body: 'x' }), { status: 200, isWhole: true });
  fleet.engines[0]?.setFate(() => EngineFate.cut);
  const answer = await sendTo(host, '/chat/1', { body: 'x' });
  t.equal(answer.isWhole, false);
  t.equal(answer.body, 'id: 1\ndata: piece 1\n\n', 'only whole events');
});

t.test('goes on with a resumable stream at another engine, each piece once', async (t) => {
  const fleet = await startPlatformFleet(1, [oak('e1'), oak('e2')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  let cuts = 0;
  for (const engine of fleet.engines)
    engine.setFate(() => (cuts++ === 0 ? EngineFate.cut : EngineFate.serve));
  const answer = await sendTo(host, '/plan/1', { id: 'p1', body: 'x' });
  t.equal(answer.isWhole, true);
  t.equal(answer.body, [1, 2, 3].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join(''));
  const second = fleet.engines
    .flatMap(({ ran }) => ran)
    .find(({ headers }) => headers['last-event-id']);
  t.equal(second?.headers['last-event-id'], '1');
});

t.test('has an adapter loaded that no engine holds, by one holder of the command', async (t) => {
  const fleet = await startPlatformFleet(3, [oak('e1', ['a1']), oak('e2')]);
  t.teardown(fleet.close);
  const ask = async (adapter: string, index: number) => {
    const host = fleet.hosts[index % 3] ?? fleet.hosts[0];
    if (host === undefined) throw new Error('no host');
    return sendTo(host, '/chat/1', { body: 'x', headers: { model: `oak/${adapter}` } });
  };
  await waitUntil('an adapter is loaded', async () => (await ask('a2', 0)).status === 200);
  for (let index = 0; index < 12; index += 1)
    await waitUntil(
      'a turn is served',
      async () => (await ask(`a${index % 6}`, index)).status === 200,
    );
  const orders = fleet.engines.flatMap(({ orders: list }) => list);
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
  await host?.stop();
  await waitUntil(
    'another host holds the command',
    () => read() !== undefined && read()?.holder !== first,
  );
  const [left] = fleet.hosts as [(typeof fleet.hosts)[number]];
  await waitUntil('it orders', async () => {
    const answer = await sendTo(left, '/chat/1', { body: 'x', headers: { model: 'oak/a7' } });
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
      for (let index = 0; index < 6; index += 1) await sendTo(host, '/certs/1', { body: 'x' });
  };
  fleet.store.put('servers/c1', c1.describe({ state: 'draining' }));
  const isLeft = async (engine: typeof c1): Promise<boolean> => {
    const before = engine.ran.length;
    await askAll();
    return engine.ran.length === before;
  };
  await waitUntil('c1 gets nothing', () => isLeft(c1));
  t.ok(await isLeft(c1));
  fleet.store.put('servers/c1', c1.describe());
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
      (await Promise.all(fleet.hosts.map((host) => sendTo(host, '/certs/1', { body: 'x' })))).every(
        ({ status }) => status === 401,
      );
    fleet.store.put('op/config', buildConfiguration(5, { tenants: [] }));
    await waitUntil('the key is gone everywhere', isKeyGone);
    fleet.store.put('op/config', buildConfiguration(4));
    fleet.store.put('op/config', 'not a configuration');
    fleet.store.compact();
    t.ok(await isKeyGone());
    fleet.store.setMood(StoreMood.busy);
    t.ok(await isKeyGone());
    fleet.store.setMood(StoreMood.sound);
    fleet.store.put('op/config', buildConfiguration(6));
    await waitUntil('version 6 is in force', async () => {
      const answer = await sendTo(one, '/certs/1', { body: 'x' });
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
  t.equal(await readReady(host), false);
  const answer = await sendTo(host, '/certs/1', { body: 'x' });
  t.equal(answer.status, 503);
  fleet.store.put('op/config', buildConfiguration(1));
  await waitUntil('it is ready', () => readReady(host));
});

t.test('ignores entries that name no server', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  const [c1] = fleet.engines as [(typeof fleet.engines)[number]];
  fleet.store.put('servers/bad1', 'nothing to read');
  fleet.store.put('servers/bad2', c1.describe({ slots: 'many' }));
  fleet.store.put('servers/bad3', c1.describe({ address: 'example:80' }));
  fleet.store.put('servers/c9', c1.describe());
  fleet.store.put('servers/c9', c1.describe({ state: 'dozing' }));
  for (let index = 0; index < 20; index += 1) {
    const answer = await sendTo(host, '/certs/1', { body: 'x' });
    t.match(answer, { status: 200, body: /by c1$/ });
  }
});

t.test('finishes what runs in a planned stop, and takes what comes meanwhile', async (t) => {
  const fleet = await startPlatformFleet(1, [
    { id: 'e1', models: { oak: [] }, events: 18, eventMs: 150 },
    certs('c1'),
  ]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts.splice(0) as [(typeof fleet.hosts)[number]];
  const running = sendTo(host, '/chat/1', { body: 'x', headers: { 'deadline-ms': '6000' } });
  await waitUntil('the stream runs', () => fleet.engines[0]?.ran.length === 1);
  const stopped = host.stop();
  t.equal(await readReady(host), false);
  const late = await sendTo(host, '/certs/1', { body: 'x' });
  t.equal(late.status, 200);
  t.equal(late.headers['connection'], 'close');
  const answer = await running;
  t.equal(answer.isWhole, true);
  t.match(answer.body, 'piece 18');
  await stopped;
});

t.test('serves its metrics as text', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  await sendTo(host, '/certs/1', { body: 'x' });
  const answer = await fetch(`http://127.0.0.1:${host.metricsPort}/metrics`);
  const text = await answer.text();
  t.match(text, 'bronzelanding_requests_total{route="/certs/",status="200",reason="served"} 1');
  t.notMatch(text, KEY);
});
