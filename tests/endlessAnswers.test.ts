import type { Socket } from 'node:net';
import t from 'tap';
import { request as sendRequest } from 'undici';
import { API_KEY, buildConfiguration, MAX_RESPONSE_BYTES } from './support/platformFleet.js';
import { startHostWithRawServer } from './support/rawPlatformServer.js';
import { writeWithoutEnd } from './support/rawServer.js';
import { waitUntil } from './support/waitUntil.js';

const MAX_READ_BYTES = 16_000_000; // what the buffers of the connection hold on both sides
const SEAL = 'Server-Seal: s\r\n';
const KILOBYTE = 'x'.repeat(1024);

const endlessAnswers: Record<string, (socket: Socket, id: string) => void> = {
  'interim responses': (socket) => writeWithoutEnd(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n'),
  'a chunk extension': (socket, id) => {
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n5;`;
    socket.write(head);
    writeWithoutEnd(socket, KILOBYTE);
  },
  'head lines': (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n');
    writeWithoutEnd(socket, `X-Filler: ${KILOBYTE}\r\n`);
  },
  'bytes without a head': (socket) => writeWithoutEnd(socket, KILOBYTE),
  trailers: (socket, id) => {
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n`;
    socket.write(`${head}2\r\nok\r\n0\r\n`);
    writeWithoutEnd(socket, `X-Filler: ${KILOBYTE}\r\n`);
  },
};

for (const [name, answer] of Object.entries(endlessAnswers))
  t.test(`ends an answer with ${name} without end`, async (t) => {
    const { server, send } = await startHostWithRawServer(t, answer);
    const before = server.countWritten();
    const startedAtMs = performance.now();
    const response = await send('/certs/1');
    t.ok(performance.now() - startedAtMs < 1500, 'before the deadline');
    t.notOk(response?.status === 200 && response.isComplete, 'it does not look complete');
    t.ok(response === undefined || response.status < 500 || response.status === 502);
    await waitUntil('the connection to the server is closed', () => server.countOpen() === 0);
    t.ok(server.countWritten() - before < MAX_READ_BYTES, `${server.countWritten()} bytes`);
  });

const startRefusal = (socket: Socket, id: string, status: string): void => {
  const framing = 'Transfer-Encoding: chunked\r\n';
  socket.write(`HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\n${framing}\r\n`);
};

const endlessRefusals: Record<string, (socket: Socket, id: string) => void> = {
  'that is silent': (socket, id) => startRefusal(socket, id, '503 Busy'),
  'that comes byte by byte': (socket, id) => {
    startRefusal(socket, id, '421 Misdirected Request');
    const timer = setInterval(() => socket.write('1\r\nx\r\n'), 50);
    socket.once('close', () => clearInterval(timer));
  },
  'that comes fast': (socket, id) => {
    startRefusal(socket, id, '503 Busy');
    writeWithoutEnd(socket, `400\r\n${KILOBYTE}\r\n`);
  },
};

// The attempt is over with the head of the refusal, after which nothing else would end its connection.
for (const [name, answer] of Object.entries(endlessRefusals))
  t.test(`closes the connection of a refusal with a body ${name}`, async (t) => {
    const { server, send } = await startHostWithRawServer(t, answer);
    const before = server.countWritten();
    t.equal((await send('/certs/1'))?.status, 503);
    await waitUntil('the connections are closed', () => server.countOpen() === 0, 5000);
    t.ok(server.countWritten() - before < MAX_READ_BYTES, `${server.countWritten()} bytes`);
  });

t.test('bounds a plain response without end', async (t) => {
  const { server, send } = await startHostWithRawServer(t, (socket, id) => {
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n`;
    socket.write(head);
    writeWithoutEnd(socket, `400\r\n${KILOBYTE}\r\n`);
  });
  const response = await send('/certs/1');
  t.notOk(response?.isComplete === true, 'it does not look complete');
  t.ok((response?.body.length ?? 0) <= MAX_RESPONSE_BYTES);
  await waitUntil('the connection to the server is closed', () => server.countOpen() === 0);
});

t.test('closes the connection to a server whose answer has no caller any more', async (t) => {
  const { host, server } = await startHostWithRawServer(t, (socket, id) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${SEAL}Content-Length: 100000\r\n\r\n`);
    const timer = setInterval(() => socket.write('x'), 50);
    socket.once('close', () => clearInterval(timer));
  });
  const controller = new AbortController();
  const leaving = sendRequest(`http://127.0.0.1:${host.callerPort}/certs/2`, {
    method: 'POST',
    body: 'x',
    signal: controller.signal,
    headers: {
      host: 'depots.example',
      authorization: `Bearer ${API_KEY}`,
      'request-id': 'leaving',
      'deadline-ms': '8000',
    },
  })
    .then(({ body }) => body.dump())
    .catch(() => undefined);
  await waitUntil('the response is read', () => server.countOpen() > 0);
  controller.abort();
  await leaving;
  const leftAtMs = performance.now();
  await waitUntil('the connection to the server is closed', () => server.countOpen() === 0);
  t.ok(performance.now() - leftAtMs < 1000);
});

t.test('answers 502 when the response of a stream is no event stream', async (t) => {
  const { send } = await startHostWithRawServer(
    t,
    (socket, id) => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${SEAL}Content-Length: 5\r\n\r\n`;
      socket.write(`${head}hello`);
    },
    'llm',
  );
  t.match(await send('/chat/1'), { status: 502 });
});

t.test('does not end a stream of comments as complete', async (t) => {
  const { send } = await startHostWithRawServer(
    t,
    (socket, id) => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${SEAL}Content-Type: text/event-stream\r\n\r\n`;
      socket.write(head);
      const timer = setInterval(() => socket.write(': keep\n\n'), 100);
      socket.once('close', () => clearInterval(timer));
    },
    'llm',
  );
  const response = await send('/chat/1');
  t.notOk(response?.status === 200 && response.isComplete);
  t.equal(response?.status, 504);
});

t.test('keeps the configuration in force while servers misbehave', async (t) => {
  const { fleet, send } = await startHostWithRawServer(t, (socket) =>
    writeWithoutEnd(socket, KILOBYTE),
  );
  await send('/certs/1');
  fleet.store.put('op/config', buildConfiguration(2, { tenants: [] }));
  await waitUntil('the key is refused', async () => (await send('/certs/1'))?.status === 401);
});
