import type { Socket } from 'node:net';
import { Writable } from 'node:stream';
import t, { type Test } from 'tap';
import { createBackendServerClient } from '#dist/adapters/backendServer/index.js';
import { ExecutionOutcome } from '#dist/errors/index.js';
import { relayStream } from '#dist/programs/entry/_lib/relayStream.js';
import { EngineBehaviour } from './support/platformEngine.js';
import { sendToHost, startPlatformFleet } from './support/platformFleet.js';
import { readRawResponse } from './support/readConnectionEnd.js';
import { startHostWithRawServer } from './support/rawPlatformServer.js';
import { startRawServer } from './support/rawServer.js';

const EVENT = 'id: 1\ndata: piece 1\n\n';
const CONTENT_TYPE = 'Content-Type: text/event-stream\r\n';
const EVENT_CHUNK = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
const buildHead = (id: string, status = 200): string =>
  `HTTP/1.1 ${status} Status\r\nRequest-Id: ${id}\r\nServer-Seal: s\r\n`;

/** Starts a host whose only engine is a server that answers with bytes of the test's choice. */
const startHostWithEngine = (t: Test, answer: (socket: Socket, id: string) => void) =>
  startHostWithRawServer(t, answer, 'llm');

for (const behaviour of [EngineBehaviour.repeatRefusal, EngineBehaviour.repeatAnonymousRefusal])
  t.test(
    `a refusal written once more is no refusal of the next request: ${behaviour}`,
    async (t) => {
      const fleet = await startPlatformFleet(1, [{ id: 'e1', models: { oak: [] } }]);
      t.teardown(fleet.close);
      const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
      const [engine] = fleet.engines;
      engine?.setBehaviour(({ id }) => (id === 'first' ? EngineBehaviour.refuse : behaviour));
      t.equal((await sendToHost(host, '/chat/1', { id: 'first' })).status, 503);
      const response = await sendToHost(host, '/chat/1', { id: 'second' });
      const hasRun = engine?.executedRequests.some(({ id }) => id === 'second') === true;
      t.ok(response.status === 502 || (hasRun && response.status === 200), `${response.status}`);
    },
  );

t.test('a refusal written once more does not run a request at an engine again', async (t) => {
  const fleet = await startPlatformFleet(1, [
    { id: 'e1', models: { oak: ['a1'] } },
    { id: 'e2', models: { oak: ['a1'] } },
  ]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  for (const engine of fleet.engines) {
    engine.setBehaviour(() => EngineBehaviour.repeatRefusal);
    engine.models.set('oak', new Set());
  }
  const response = await sendToHost(host, '/chat/1', {
    id: 'again',
    headers: { model: 'oak/a1' },
  });
  const runs = fleet.engines.flatMap(({ executedRequests }) => executedRequests);
  t.equal(runs.length, 1, 'it runs once');
  t.ok(response.status === 200 || response.status === 502, `status ${response.status}`);
});

t.test('an error of the next engine does not get into a stream that has begun', async (t) => {
  const fleet = await startPlatformFleet(1, [
    { id: 'e1', models: { oak: [] } },
    { id: 'e2', models: { oak: [] } },
  ]);
  t.teardown(fleet.close);
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  for (const behaviour of [EngineBehaviour.notFound, EngineBehaviour.error]) {
    for (const engine of fleet.engines)
      engine.setBehaviour(({ headers }) =>
        headers['last-event-id'] === undefined ? EngineBehaviour.truncateResponse : behaviour,
      );
    const { body, isComplete } = await sendToHost(host, '/plan/1');
    t.match(body, /^id: 1\ndata: piece 1\n\n/);
    t.notMatch(body, /answer|HTTP/, behaviour);
    t.notOk(isComplete, `${behaviour}: it does not look complete`);
  }
});

const cutHeads: Record<string, (id: string) => string> = {
  'the status line': () => 'HTTP/1.1 200 O',
  'a header name': (id) => `${buildHead(id)}Content-Le`,
  'the length': (id) => `${buildHead(id)}Content-Length: 1`,
  'the last line': (id) => `${buildHead(id)}Content-Length: 10\r\n`,
  'the end of the head': (id) => `${buildHead(id)}Connection: close\r\n\r`,
  'the head after an interim response': (id) => `HTTP/1.1 103 Early\r\n\r\n${buildHead(id)}`,
};

for (const [name, buildCutHead] of Object.entries(cutHeads))
  t.test(`a head that ends within ${name} is no answer`, async (t) => {
    const { send } = await startHostWithEngine(t, (socket, id) => socket.end(buildCutHead(id)));
    for (const path of ['/chat/1', '/plan/1']) {
      const response = await send(path);
      t.equal(response?.status, 502, path);
      t.notOk(response?.headers['server-seal'], 'it bears no signature');
    }
  });

t.test('a head that ends early on a kept connection is no answer', async (t) => {
  const counts = new WeakMap<Socket, number>();
  const { send } = await startHostWithEngine(t, (socket, id) => {
    const count = (counts.get(socket) ?? 0) + 1;
    counts.set(socket, count);
    if (count % 2 === 0) socket.end(`${buildHead(id)}Content-Len`);
    else
      socket.write(
        `${buildHead(id)}${CONTENT_TYPE}Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`,
      );
  });
  const statuses: number[] = [];
  for (let index = 0; index < 4; index += 1) statuses.push((await send('/chat/1'))?.status ?? 0);
  t.ok(statuses.includes(200) && statuses.includes(502), statuses.join());
});

const streamHeaders = { accept: 'text/event-stream', model: 'oak', 'token-count': '10,10' };

t.test('a stream without framing is complete if its connection ends after an event', async (t) => {
  const { host } = await startHostWithEngine(t, (socket, id) =>
    socket.end(`${buildHead(id)}${CONTENT_TYPE}\r\n${EVENT}`),
  );
  const { text, end } = await readRawResponse(host.callerPort, '/chat/1', {
    ...streamHeaders,
    connection: 'close',
  });
  t.ok(text.startsWith('HTTP/1.1 200'), text);
  t.ok(text.endsWith(`\r\n\r\n${EVENT_CHUNK}0\r\n\r\n`), text);
  t.equal(end, 'end');
});

t.test('a stream without framing is cut off if it ends within an event', async (t) => {
  const { host } = await startHostWithEngine(t, (socket, id) => {
    socket.write(`${buildHead(id)}${CONTENT_TYPE}\r\n${EVENT}`);
    setTimeout(() => socket.end('id: 2\ndata: pie'), 100);
  });
  const { text, end } = await readRawResponse(host.callerPort, '/chat/1', streamHeaders);
  t.ok(text.endsWith(`\r\n\r\n${EVENT_CHUNK}`), text);
  t.equal(end, 'reset');
});

/** Creates the client of the OpenAI protocol, and a server that answers with bytes. */
async function startOpenAiServer(t: Test, answer: (socket: Socket, id: string) => void) {
  const server = await startRawServer(answer);
  const client = createBackendServerClient({ connectMs: 500, headersMs: 2000, bodyMs: 2000 });
  t.teardown(async () => {
    await client.close();
    await server.close();
  });
  const call = (id: string, idempotent = true) =>
    client.call({
      origin: `http://127.0.0.1:${server.port}`,
      method: 'POST',
      path: '/v1/completions',
      headers: { 'request-id': id },
      body: '{}',
      idempotent,
    });
  return { call };
}

/** Returns the status of a response, or what is known of the request when there is none. */
function readOutcome(response: Promise<{ status: number }>): Promise<unknown> {
  return response.then(
    ({ status }) => status,
    (error: unknown) => (error as { outcome: ExecutionOutcome }).outcome,
  );
}

t.test('OpenAI: a refusal written once more is no refusal of the next request', async (t) => {
  const refused = new WeakSet<Socket>();
  const runs: string[] = [];
  const { call } = await startOpenAiServer(t, (socket, id) => {
    if (id === 'first' || refused.has(socket)) {
      if (refused.has(socket)) runs.push(id);
      refused.add(socket);
      socket.write(
        'HTTP/1.1 503 Refused\r\nBronzelanding-Outcome: not-run\r\nContent-Length: 0\r\n\r\n',
      );
      return;
    }
    runs.push(id);
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  });
  t.equal(await readOutcome(call('first')), ExecutionOutcome.notRun);
  const outcome = await readOutcome(call('second'));
  t.same(runs, ['second']);
  t.not(outcome, ExecutionOutcome.notRun);
});

for (const [name, buildCutHead] of Object.entries(cutHeads))
  t.test(`OpenAI: a head that ends within ${name} is no answer`, async (t) => {
    const { call } = await startOpenAiServer(t, (socket, id) => socket.end(buildCutHead(id)));
    for (const idempotent of [true, false])
      t.equal(await readOutcome(call('cut', idempotent)), ExecutionOutcome.unknown);
  });

for (const [name, answer] of Object.entries({
  'an error': `HTTP/1.1 404 Not Found\r\nContent-Length: 13\r\n\r\nno such thing`,
  'an error with status 200': `HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nno such thing`,
  'a stream without framing that ends within an event': `HTTP/1.1 200 OK\r\n${CONTENT_TYPE}\r\nid: s/2\ndata: pie`,
}))
  t.test(`OpenAI: ${name} does not get into a stream that has begun`, async (t) => {
    const { call } = await startOpenAiServer(t, (socket, id) => {
      if (id === 'resume') socket.end(answer);
      else
        socket.end(`HTTP/1.1 200 OK\r\n${CONTENT_TYPE}\r\nid: s/1\ndata: piece 1\n\nid: s/2\nda`);
    });
    const written: string[] = [];
    const response = new Writable({
      write: (chunk: Buffer, _, done) => {
        written.push(chunk.toString());
        done();
      },
    });
    const request = {
      id: 'r',
      response: Object.assign(response, { headersSent: false, writeHead: () => undefined }),
    } as never;
    const relaying = relayStream(
      { request, open: () => call('resume'), wantsUsage: true, callerStallMs: 1000 },
      await call('stream'),
    );
    await t.rejects(relaying, 'the stream does not end as complete');
    t.equal(written.join(''), 'data: piece 1\n\n');
    t.notOk(response.writableEnded);
  });
