import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { startHostProcess } from './support/hostProcess.js';
import { startPlatformEngine } from './support/platformEngine.js';
import { buildConfiguration, sendToPort, type HostResponse } from './support/platformFleet.js';
import { startPlatformStore } from './support/platformStore.js';
import { readRawResponse } from './support/readConnectionEnd.js';
import { startRawServer, writeWithoutEnd } from './support/rawServer.js';
import { waitUntil } from './support/waitUntil.js';

const PART = 'id: 1\ndata: piece 1\n\n';
const GRACE_S = 4;
const MAX_RESPONSE_BYTES = 100_000;

/** Begins an answer that has neither a length nor chunks and ends with its connection. */
function startUnframed(socket: Socket, id: string, type = 'text/event-stream'): void {
  const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: s\r\nContent-Type: ${type}\r\n\r\n`;
  socket.write(`${head}${PART}`);
}

/** Starts a host in a process, whose only server for all services answers with bytes of the test's choice. */
async function startHost(t: Test, answer: (socket: Socket, id: string) => void) {
  const store = await startPlatformStore();
  store.put('op/config', buildConfiguration(1));
  const server = await startRawServer(answer);
  const { buildRegistration, close } = await startPlatformEngine({
    id: 's-1',
    models: { oak: [] },
  });
  const address = `127.0.0.1:${server.port}`;
  store.put('servers/s-1', buildRegistration({ address }));
  store.put('servers/s-2', buildRegistration({ address, service: 'certs', models: [] }));
  const { process: host, callerPort } = await startHostProcess(store, 'host-1', {
    'grace-s': GRACE_S,
    'max-response-bytes': MAX_RESPONSE_BYTES,
  });
  t.teardown(async () => {
    host.kill('SIGKILL');
    await host.exited;
    await server.close();
    await close();
    await store.close();
  });
  return { host, callerPort };
}

/** Asks for a stream and for a plain answer; settles once both have ended. */
const sendBoth = (port: number): Promise<HostResponse[]> =>
  Promise.all(
    ['/chat/1', '/certs/1'].map((path) =>
      sendToPort(port, path, { headers: { 'deadline-ms': '20000' } }),
    ),
  );

// The operating system ends the connections of a process regularly, which ended answers without framing as complete.
for (const signal of ['SIGKILL', 'SIGTERM'] as const)
  t.test(`an answer that ends with its host does not look complete: ${signal}`, async (t) => {
    const begun = new Set<string>();
    const { host, callerPort } = await startHost(t, (socket, id) => {
      startUnframed(socket, id);
      begun.add(id);
    });
    const responses = sendBoth(callerPort);
    await waitUntil('both answers have begun', () => begun.size === 2);
    await wait(300);
    host.kill(signal);
    for (const { status, body, isComplete } of await responses) {
      t.match({ status, body }, { status: 200, body: PART });
      t.notOk(isComplete);
    }
  });

// Such an answer reached its caller as a complete one that lacked its last bytes.
t.test('an answer over the limit does not look complete', async (t) => {
  const { callerPort } = await startHost(t, (socket, id) => {
    startUnframed(socket, id, 'text/plain');
    writeWithoutEnd(socket, 'x'.repeat(1024));
  });
  const { status, body, isComplete } = await sendToPort(callerPort, '/certs/1');
  t.equal(status, 200);
  t.ok(body.length <= MAX_RESPONSE_BYTES);
  t.notOk(isComplete);
});

t.test('an answer that is not over at the deadline does not look complete', async (t) => {
  const { callerPort } = await startHost(t, (socket, id) => startUnframed(socket, id));
  for (const response of await sendBoth(callerPort)) t.notOk(response.isComplete);
});

t.test('an answer whose connection breaks does not look complete', async (t) => {
  const { callerPort } = await startHost(t, (socket, id) => {
    startUnframed(socket, id);
    setTimeout(() => socket.resetAndDestroy(), 200);
  });
  for (const response of await sendBoth(callerPort)) t.notOk(response.isComplete);
});

// Node.js reports such a reset as a regular end, so that the answer got its last chunk.
t.test('an answer that is reset with its last bytes does not look complete', async (t) => {
  const { callerPort } = await startHost(t, (socket, id) => {
    startUnframed(socket, id);
    setTimeout(() => {
      socket.write(PART);
      socket.resetAndDestroy();
    }, 50);
  });
  let begun = 0;
  for (let index = 0; index < 20; index += 1)
    for (const { status, isComplete } of await sendBoth(callerPort)) {
      // The host avoids a server that fails, and refuses some requests.
      if (status === 200) begun += 1;
      t.notOk(status === 200 && isComplete);
    }
  t.ok(begun >= 10, `${begun} answers had begun`);
});

t.test('callers of HTTP/1.0 get answers with a length, or none', async (t) => {
  const { host, callerPort } = await startHost(t, (socket, id) => {
    startUnframed(socket, id);
    if (id === 'by-hand') setTimeout(() => socket.end(PART), 200);
  });
  const read = (path: string): ReturnType<typeof readRawResponse> =>
    readRawResponse(callerPort, path, {}, { httpVersion: '1.0' });
  for (const path of ['/chat/1', '/certs/1']) {
    const { text, end } = await read(path);
    t.match(text, /^HTTP\/1.1 200 .*\r\ncontent-length: 42\r\n/is, path);
    t.ok(text.endsWith(`\r\n\r\n${PART}${PART}`), text);
    t.equal(end, 'end');
  }
  const killed = read('/chat/1');
  await wait(100);
  host.kill('SIGKILL');
  t.equal((await killed).text, '', 'no part of an answer');
});

t.test('callers of HTTP/1.0 get no part of an answer that is too long to be held', async (t) => {
  const { callerPort } = await startHost(t, (socket, id) => {
    startUnframed(socket, id);
    socket.end(PART.repeat(15_000));
  });
  const { text, end } = await readRawResponse(callerPort, '/chat/1', {}, { httpVersion: '1.0' });
  t.equal(text, '');
  t.equal(end, 'reset');
});
