import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import t, { type Test } from 'tap';
import type { Dispatcher } from 'undici';
import { createResettingClient } from './index.js';

const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const CHUNKS = 20_000;

/** Starts a server that answers each connection with the given bytes once it has sent a request. */
async function startServer(t: Test, answer: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface Response {
  body: string;
  /** Calls that delivered the body. */
  calls: number;
  error?: Error;
}

/** Sends a request and collects its response. */
function readResponse(
  t: Test,
  origin: string,
  onData: (controller: Dispatcher.DispatchController) => void = () => undefined,
): Promise<Response> {
  const client = createResettingClient(origin, { pipelining: 1 });
  t.teardown(() => client.destroy());
  const response: Response = { body: '', calls: 0 };
  return new Promise((resolve) => {
    client.dispatch(
      { method: 'GET', path: '/' },
      {
        onRequestStart: () => undefined,
        onResponseStart: () => undefined,
        onResponseData: (controller, chunk) => {
          response.calls += 1;
          response.body += chunk.toString();
          onData(controller);
        },
        onResponseEnd: () => resolve(response),
        onResponseError: (_, error) => resolve({ ...response, error }),
      },
    );
  });
}

// The server decided how often its host was called: each chunk of one byte took all steps that a long one takes.
t.test('delivers the chunks of one read together', async (t) => {
  const origin = await startServer(t, (socket) =>
    socket.end(`${HEAD}${'1\r\nx\r\n'.repeat(CHUNKS)}0\r\n\r\n`),
  );
  const { body, calls, error } = await readResponse(t, origin);
  t.equal(error, undefined);
  t.equal(body.length, CHUNKS);
  t.ok(calls <= CHUNKS / 100, `${calls} calls for ${CHUNKS} chunks`);
});
