import type { Socket } from 'node:net';
import t from 'tap';
import { createBackendServerClient, readResponseBody } from '#dist/adapters/backendServer/index.js';
import { createEngineControl } from '#dist/adapters/engine/index.js';
import { createHttpHostList } from '#dist/adapters/hostList/index.js';
import { OrderOutcome } from '#dist/ports/modelOrderClient.js';
import { decodeServer } from '../platform/decodeServer.js';
import { createModelOrderClient } from '../platform/modelOrderClient.js';
import { startRawServer, writeWithoutEnd } from './support/rawServer.js';
import { waitUntil } from './support/waitUntil.js';

const MAX_READ_BYTES = 16_000_000; // what the buffers of the connection hold on both sides
const MAX_LOGGED_CHARACTERS = 2000;
const MAX_ANSWER_BYTES = 100_000;
const KILOBYTE = 'x'.repeat(1024);
const OK = 'HTTP/1.1 200 OK\r\n';

const endlessAnswers: Record<string, (socket: Socket) => void> = {
  'a body in chunks': (socket) => {
    socket.write(`${OK}Transfer-Encoding: chunked\r\n\r\n`);
    writeWithoutEnd(socket, `400\r\n${KILOBYTE}\r\n`);
  },
  'a body without framing': (socket) => {
    socket.write(`${OK}\r\n`);
    writeWithoutEnd(socket, KILOBYTE);
  },
  'a body that is announced': (socket) => {
    socket.write(`${OK}Content-Length: 1000000000000\r\n\r\n`);
    writeWithoutEnd(socket, KILOBYTE);
  },
  'a body of tiny chunks': (socket) => {
    socket.write(`${OK}Transfer-Encoding: chunked\r\n\r\n`);
    writeWithoutEnd(socket, '1\r\nx\r\n'.repeat(1000));
  },
  'a body behind an error': (socket) => {
    socket.write('HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n');
    writeWithoutEnd(socket, `400\r\n${KILOBYTE}\r\n`);
  },
  'a body of two lengths': (socket) => {
    socket.write(`${OK}Content-Length: 10\r\nTransfer-Encoding: identity\r\n\r\n`);
    writeWithoutEnd(socket, KILOBYTE);
  },
  'a chunk extension': (socket) => {
    socket.write(`${OK}Transfer-Encoding: chunked\r\n\r\n5;`);
    writeWithoutEnd(socket, KILOBYTE);
  },
  'interim responses': (socket) => writeWithoutEnd(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n'),
  'head lines': (socket) => {
    socket.write(OK);
    writeWithoutEnd(socket, `X-Filler: ${KILOBYTE}\r\n`);
  },
};

const endpoint = { id: 'e1', incarnation: 'e1/1', address: '127.0.0.1' };
const platformOrder = {
  action: 'load' as const,
  model: 'oak',
  expectedCount: 3,
  holder: 'host-1',
  fence: 7,
};
const openAiOrder = {
  action: 'load' as const,
  item: { kind: 'model' as const, name: 'oak', version: '1', bytes: 1 },
  incarnation: 'e1',
  fence: 7,
  issuedAtMs: 0,
};
const logged: unknown[] = [];
const record = (fields: unknown): void => void logged.push(fields);
const log = { info: record, warn: record, error: record };

/** All that reads what engines and services send, other than the requests of callers on the platform. */
const readers: Record<string, (port: number) => Promise<unknown>> = {
  'a report': (port) =>
    createModelOrderClient({ log, nowMs: () => 0 }).readReport({ ...endpoint, port }),
  'the answer to an order': (port) =>
    createModelOrderClient({ log, nowMs: () => 0 }).send(
      { ...endpoint, port },
      platformOrder,
      () => true,
    ),
  'an OpenAI engine report': (port) => createEngineControl().readReport(`http://127.0.0.1:${port}`),
  'the answer to an order to an OpenAI engine': (port) =>
    createEngineControl().sendOrder(`http://127.0.0.1:${port}`, openAiOrder as never),
  'the host list': (port) => createHttpHostList(`http://127.0.0.1:${port}/hosts`).read(),
  'the answer of a service': async (port) => {
    const client = createBackendServerClient({ connectMs: 500, headersMs: 1000, bodyMs: 1000 });
    const call = { method: 'GET', path: '/', headers: {}, idempotent: true };
    const response = await client.call({ origin: `http://127.0.0.1:${port}`, ...call });
    return readResponseBody(response, { maximumBytes: MAX_ANSWER_BYTES, maximumMs: 1000 });
  },
};

// A faulty engine took a host from 79 to 999 MB through its report.
for (const [reader, read] of Object.entries(readers))
  for (const [name, answer] of Object.entries(endlessAnswers))
    t.test(`${reader}: reads little of ${name} without end`, async (t) => {
      const server = await startRawServer(answer);
      t.teardown(server.close);
      const result = await read(server.port).catch(() => undefined);
      // An order is answered by the status alone.
      const isOrder = result === OrderOutcome.unknown || result === OrderOutcome.held;
      t.ok(result === undefined || isOrder, 'it is no answer');
      await waitUntil('the connection is closed', () => server.countOpen() === 0, 3000);
      t.ok(server.countWritten() < MAX_READ_BYTES, `${server.countWritten()} bytes`);
    });

// An answer of a byte now and then kept its request, and the memory reserved for it, for as long as it went on.
t.test('ends an answer of a service that does not come to its end', async (t) => {
  const server = await startRawServer((socket) => {
    socket.write(`${OK}Transfer-Encoding: chunked\r\n\r\n`);
    const timer = setInterval(() => socket.write('1\r\nx\r\n'), 50);
    socket.once('close', () => clearInterval(timer));
  });
  t.teardown(server.close);
  await t.rejects(readers['the answer of a service']?.(server.port) ?? Promise.resolve(), {
    name: 'BackendServerError',
    message: /took more than 1000 ms/,
  });
  await waitUntil('the connection is closed', () => server.countOpen() === 0, 3000);
});

// The check of one report listed each invalid entry: 0.1 s, 60 MB and a line of 11 MB for 130 kB.
t.test('checks a report up to its first fault', async (t) => {
  const body = `{"models":[${'1,'.repeat(30_000)}1],"busy":false,"sequence":1}`;
  const server = await startRawServer((socket) =>
    socket.write(`${OK}Content-Length: ${body.length}\r\n\r\n${body}`),
  );
  t.teardown(server.close);
  logged.length = 0;
  t.equal(await readers['a report']?.(server.port), undefined);
  const { length } = JSON.stringify(logged);
  t.ok(length < MAX_LOGGED_CHARACTERS, `${length} characters logged`);
});

t.test('checks a registration up to its first fault', (t) => {
  const registration = {
    ...{ service: 'llm', address: '10.1.0.7:8142', zone: 'a', version: 'v1', slots: 24 },
    ...{ state: 'ready', cold_remaining_ms: 0, sequence: 3 },
  };
  const decode = (models: unknown): string => {
    const value = Buffer.from(JSON.stringify({ ...registration, models }));
    try {
      decodeServer('e1', value);
    } catch (error) {
      return String(error);
    }
    return '';
  };
  const ones: unknown = Array.from({ length: 250 }, () => 1);
  t.equal(decode([{ name: 'oak', adapters: ['a1'] }]), '');
  for (const models of [ones, Array.from({ length: 250 }, () => ({ name: 1, adapters: ones }))]) {
    const { length } = decode(models);
    t.ok(length > 0 && length < MAX_LOGGED_CHARACTERS, `${length} characters`);
  }
  t.match(decode([{ name: 'oak', adapters: ['x'.repeat(2_000_000)] }]), /bytes/);
  t.end();
});
