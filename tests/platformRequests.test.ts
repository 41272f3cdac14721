import { connect } from 'node:net';
import t from 'tap';
import { EngineBehaviour } from './support/platformEngine.js';
import { API_KEY, sendToHost, startPlatformFleet } from './support/platformFleet.js';

/** Sends a request by hand and tells how its connection ended: undici takes a reset for an end. */
function readEnd(port: number): Promise<'end' | 'reset'> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    socket.write(
      `POST /certs/1 HTTP/1.1\r\nHost: depots.example\r\nAuthorization: Bearer ${API_KEY}\r\n` +
        'Request-Id: by-hand\r\nContent-Length: 1\r\n\r\nx',
    );
    socket.on('error', () => resolve('reset'));
    socket.on('end', () => resolve('end'));
    socket.resume();
  });
}

const certs = (id: string) => ({ id, service: 'certs' });
const oak = (id: string, adapters: string[] = []) => ({ id, models: { oak: adapters } });

t.test('passes requests and answers on byte for byte', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  const answer = await sendToHost(host, '/certs/new?lot=7%2F8', {
    id: 'x1',
    body: '{"load":"oak"}',
    headers: { 'x-own': 'kept', tenant: 'somebody-else', 'kv-from': '1.2.3.4/5', hold: 'h' },
  });
  t.equal(answer.status, 200);
  t.equal(answer.body, 'answer to x1 by c1');
  t.equal(answer.headers['server-seal'], 'seal-c1');
  const seen = fleet.engines[0]?.executedRequests[0];
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
  t.equal((await sendToHost(host, '/nowhere/')).status, 404);
  t.equal(
    (await sendToHost(host, '/certs/1', { headers: { authorization: 'Bearer no' } })).status,
    401,
  );
  t.equal((await sendToHost(host, '/certs/1', { body: 'x'.repeat(100_001) })).status, 413);
  t.equal(
    (await sendToHost(host, '/certs/1', { headers: { 'x-long': 'x'.repeat(17_000) } })).status,
    431,
  );
  t.equal(fleet.engines[0]?.executedRequests.length, 0);
});

t.test('runs a request once, and says when its outcome is not known', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1'), certs('c2')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  for (const fate of [
    EngineBehaviour.loseResponse,
    EngineBehaviour.wrongRequestId,
    EngineBehaviour.unsigned,
    EngineBehaviour.truncateResponse,
  ]) {
    for (const engine of fleet.engines) engine.setBehaviour(() => fate);
    const answer = await sendToHost(host, '/certs/1', { id: fate, body: 'x' });
    t.ok(answer.status === 502 || !answer.isComplete, `${fate}: ${answer.status}`);
    const runs = fleet.engines
      .flatMap(({ executedRequests: ran }) => ran)
      .filter(({ id }) => id === fate);
    t.equal(runs.length, 1, fate);
  }
});

t.test(
  'sends a request to another server after a refusal, and refuses when all refuse',
  async (t) => {
    const fleet = await startPlatformFleet(1, [certs('c1'), certs('c2')]);
    t.teardown(fleet.close);
    const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
    fleet.engines[0]?.setBehaviour(() => EngineBehaviour.refuse);
    for (let index = 0; index < 10; index += 1)
      t.equal((await sendToHost(host, '/certs/1', { body: 'x' })).status, 200);
    fleet.engines[1]?.setBehaviour(() => EngineBehaviour.refuse);
    const answer = await sendToHost(host, '/certs/1', { id: 'refused', body: 'x' });
    t.equal(answer.status, 503);
    t.ok(Number(answer.headers['retry-after']) > 0);
    t.notOk(
      fleet.engines.some(({ executedRequests: ran }) => ran.some(({ id }) => id === 'refused')),
    );
  },
);

t.test('repeats a lookup whose server lost the answer, failed or says nothing', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1'), certs('c2')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  for (const fate of [EngineBehaviour.loseResponse, EngineBehaviour.error, EngineBehaviour.hang]) {
    const failed = new Set<string>();
    for (const engine of fleet.engines)
      engine.setBehaviour(({ id }) => {
        if (failed.has(id)) return EngineBehaviour.serve;
        failed.add(id);
        return fate;
      });
    const answer = await sendToHost(host, '/lookup/1', { id: `look-${fate}`, method: 'GET' });
    t.equal(answer.status, 200, fate);
    t.match(answer.body, `answer to look-${fate}`);
  }
});

t.test('takes no bytes of a second answer for an answer', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.extraResponse);
  for (let index = 0; index < 8; index += 1) {
    const answer = await sendToHost(host, '/lookup/1', { id: `e${index}`, method: 'GET' });
    t.equal(answer.body, `answer to e${index} by c1`);
    t.equal(answer.headers['server-seal'], 'seal-c1');
  }
});

t.test('passes on an answer that ends with its connection', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.unframed);
  const answer = await sendToHost(host, '/certs/1', { id: 'u1', body: 'x' });
  t.match(answer, { status: 200, body: 'answer to u1 by c1', isComplete: true });
  t.equal(answer.headers['transfer-encoding'], undefined, 'this host frames nothing in its place');
  t.equal(answer.headers.connection, 'close');
});

t.test('does not take a reset for the end of an answer without a length', async (t) => {
  const fleet = await startPlatformFleet(1, [certs('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.reset);
  t.equal(await readEnd(host.callerPort), 'reset');
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.unframed);
  t.equal(await readEnd(host.callerPort), 'end');
});

t.test('cuts a stream that its engine cut, and never makes it look whole', async (t) => {
  const fleet = await startPlatformFleet(1, [oak('e1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  t.match(await sendToHost(host, '/chat/1', { body: 'x' }), { status: 200, isComplete: true });
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.truncateResponse);
  const answer = await sendToHost(host, '/chat/1', { body: 'x' });
  t.equal(answer.isComplete, false);
  t.equal(answer.body, 'id: 1\ndata: piece 1\n\n', 'only whole events');
});

t.test('goes on with a resumable stream at another engine, each piece once', async (t) => {
  const fleet = await startPlatformFleet(1, [oak('e1'), oak('e2')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  let cuts = 0;
  for (const engine of fleet.engines)
    engine.setBehaviour(() =>
      cuts++ === 0 ? EngineBehaviour.truncateResponse : EngineBehaviour.serve,
    );
  const answer = await sendToHost(host, '/plan/1', { id: 'p1', body: 'x' });
  t.equal(answer.isComplete, true);
  t.equal(answer.body, [1, 2, 3].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join(''));
  const second = fleet.engines
    .flatMap(({ executedRequests: ran }) => ran)
    .find(({ headers }) => headers['last-event-id']);
  t.equal(second?.headers['last-event-id'], '1');
});
