import t from 'tap';
import { readConnectionEnd, readRawResponse } from './support/readConnectionEnd.js';
import { EngineBehaviour } from './support/platformEngine.js';
import { sendToHost, startPlatformFleet } from './support/platformFleet.js';

const buildCertsServer = (id: string) => ({ id, service: 'certs' });
const buildOakEngine = (id: string, adapters: string[] = []) => ({ id, models: { oak: adapters } });

t.test('relays request and response bodies unchanged and sets the forwarded headers', async (t) => {
  const fleet = await startPlatformFleet(1, [buildCertsServer('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  const response = await sendToHost(host, '/certs/new?lot=7%2F8', {
    id: 'x1',
    body: '{"load":"oak"}',
    headers: { 'x-own': 'kept', tenant: 'somebody-else', 'kv-from': '1.2.3.4/5', hold: 'h' },
  });
  t.equal(response.status, 200);
  t.equal(response.body, 'answer to x1 by c1');
  t.equal(response.headers['server-seal'], 'seal-c1');
  const received = fleet.engines[0]?.executedRequests[0];
  t.equal(received?.target, '/certs/new?lot=7%2F8');
  t.equal(received?.body, '{"load":"oak"}');
  t.match(received?.headers, { tenant: 'depots', 'x-own': 'kept', 'expect-instance': 'c1' });
  t.ok(Number(received?.headers['deadline-ms']) <= 3000);
  for (const name of ['authorization', 'kv-from', 'hold']) t.notOk(received?.headers[name], name);
});

t.test(
  'refuses requests without a route or valid key or above size limits, and forwards none',
  async (t) => {
    const fleet = await startPlatformFleet(1, [buildCertsServer('c1')]);
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
  },
);

t.test(
  'runs an unsafe request once and reports an unknown outcome when its response is lost or invalid',
  async (t) => {
    const fleet = await startPlatformFleet(1, [buildCertsServer('c1'), buildCertsServer('c2')]);
    t.teardown(fleet.close);
    const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
    for (const behaviour of [
      EngineBehaviour.loseResponse,
      EngineBehaviour.wrongRequestId,
      EngineBehaviour.unsigned,
      EngineBehaviour.truncateResponse,
    ]) {
      for (const engine of fleet.engines) engine.setBehaviour(() => behaviour);
      const response = await sendToHost(host, '/certs/1', { id: behaviour, body: 'x' });
      t.ok(response.status === 502 || !response.isComplete, `${behaviour}: ${response.status}`);
      const runs = fleet.engines
        .flatMap(({ executedRequests }) => executedRequests)
        .filter(({ id }) => id === behaviour);
      t.equal(runs.length, 1, behaviour);
    }
  },
);

t.test(
  'retries a refused request on another server, and refuses it when all servers refuse',
  async (t) => {
    const fleet = await startPlatformFleet(1, [buildCertsServer('c1'), buildCertsServer('c2')]);
    t.teardown(fleet.close);
    const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
    fleet.engines[0]?.setBehaviour(() => EngineBehaviour.refuse);
    for (let index = 0; index < 10; index += 1)
      t.equal((await sendToHost(host, '/certs/1', { body: 'x' })).status, 200);
    fleet.engines[1]?.setBehaviour(() => EngineBehaviour.refuse);
    const response = await sendToHost(host, '/certs/1', { id: 'refused', body: 'x' });
    t.equal(response.status, 503);
    t.ok(Number(response.headers['retry-after']) > 0);
    t.notOk(
      fleet.engines.some(({ executedRequests }) =>
        executedRequests.some(({ id }) => id === 'refused'),
      ),
    );
  },
);

t.test('retries a lookup after a lost response, an error or a timeout of its server', async (t) => {
  const fleet = await startPlatformFleet(1, [buildCertsServer('c1'), buildCertsServer('c2')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  for (const behaviour of [
    EngineBehaviour.loseResponse,
    EngineBehaviour.error,
    EngineBehaviour.hang,
  ]) {
    const failed = new Set<string>();
    for (const engine of fleet.engines)
      engine.setBehaviour(({ id }) => {
        if (failed.has(id)) return EngineBehaviour.serve;
        failed.add(id);
        return behaviour;
      });
    const response = await sendToHost(host, '/lookup/1', {
      id: `look-${behaviour}`,
      method: 'GET',
    });
    t.equal(response.status, 200, behaviour);
    t.match(response.body, `answer to look-${behaviour}`);
  }
});

t.test(
  'does not relay a second response on the same connection as the response to the next request',
  async (t) => {
    const fleet = await startPlatformFleet(1, [buildCertsServer('c1')]);
    t.teardown(fleet.close);
    const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
    fleet.engines[0]?.setBehaviour(() => EngineBehaviour.extraResponse);
    for (let index = 0; index < 8; index += 1) {
      const response = await sendToHost(host, '/lookup/1', { id: `e${index}`, method: 'GET' });
      t.equal(response.body, `answer to e${index} by c1`);
      t.equal(response.headers['server-seal'], 'seal-c1');
    }
  },
);

t.test('relays a response that is delimited by the end of the connection', async (t) => {
  const fleet = await startPlatformFleet(1, [buildCertsServer('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.unframed);
  const response = await sendToHost(host, '/certs/1', { id: 'u1', body: 'x' });
  t.match(response, { status: 200, body: 'answer to u1 by c1', isComplete: true });
  t.equal(response.headers['transfer-encoding'], 'chunked', 'its end can be told from a cut');
  t.equal(response.headers.connection, 'keep-alive');
});

t.test('relays a connection reset as a reset in a response without a length', async (t) => {
  const fleet = await startPlatformFleet(1, [buildCertsServer('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.reset);
  t.equal(await readConnectionEnd(host.callerPort), 'reset');
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.unframed);
  const { text, end } = await readRawResponse(host.callerPort, '/certs/1', { connection: 'close' });
  t.ok(text.endsWith('\r\n0\r\n\r\n'), text);
  t.equal(end, 'end');
});

t.test(
  'truncates a stream that its engine truncated and relays only complete events',
  async (t) => {
    const fleet = await startPlatformFleet(1, [buildOakEngine('e1')]);
    t.teardown(fleet.close);
    const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
    t.match(await sendToHost(host, '/chat/1', { body: 'x' }), { status: 200, isComplete: true });
    fleet.engines[0]?.setBehaviour(() => EngineBehaviour.truncateResponse);
    const response = await sendToHost(host, '/chat/1', { body: 'x' });
    t.equal(response.isComplete, false);
    t.equal(response.body, 'id: 1\ndata: piece 1\n\n', 'only complete events');
  },
);

t.test('resumes a resumable stream on another engine and relays each event once', async (t) => {
  const fleet = await startPlatformFleet(1, [buildOakEngine('e1'), buildOakEngine('e2')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  let truncations = 0;
  for (const engine of fleet.engines)
    engine.setBehaviour(() =>
      truncations++ === 0 ? EngineBehaviour.truncateResponse : EngineBehaviour.serve,
    );
  const response = await sendToHost(host, '/plan/1', { id: 'p1', body: 'x' });
  t.equal(response.isComplete, true);
  t.equal(response.body, [1, 2, 3].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join(''));
  const resumedRequest = fleet.engines
    .flatMap(({ executedRequests }) => executedRequests)
    .find(({ headers }) => headers['last-event-id']);
  t.equal(resumedRequest?.headers['last-event-id'], '1');
});

t.test('relays a stream that its engine pauses for seconds to its end', async (t) => {
  const fleet = await startPlatformFleet(1, [buildOakEngine('e1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.pauseStream);
  const response = await sendToHost(host, '/plan/1', {
    body: 'x',
    headers: { 'deadline-ms': '8000' },
  });
  t.match(response, { status: 200, isComplete: true });
  t.equal(fleet.engines[0]?.executedRequests.length, 1, 'it runs once');
});

t.test('relays an error of a server when no other server could take the request', async (t) => {
  const fleet = await startPlatformFleet(1, [buildCertsServer('c1')]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setBehaviour(() => EngineBehaviour.error);
  const response = await sendToHost(host, '/lookup/1', { id: 'only', method: 'GET' });
  t.match(response, { status: 500, body: 'answer to only by c1' });
});
