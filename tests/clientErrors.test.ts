import { connect, type Socket } from 'node:net';
import t from 'tap';
import { API_KEY } from './support/platformFleet.js';
import { startHostWithRawServer } from './support/rawPlatformServer.js';

t.setTimeout(60_000);

const RUNNING_ID = 'running-1';

/** Answers all requests but one, which goes on running. */
function serve(socket: Socket, id: string): void {
  if (id === RUNNING_ID) return;
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok`,
  );
}

const HEAD =
  'POST /certs/1 HTTP/1.1\r\nHost: depots.example\r\n' +
  `Authorization: Bearer ${API_KEY}\r\nDeadline-Ms: 20000\r\n`;

/** Sends text by hand and reads until the connection ends, however it ends. */
function readToEnd(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = connect(port, '127.0.0.1');
    socket.write(text);
    socket.on('data', (chunk) => (received += chunk.toString()));
    socket.on('error', () => resolve(received));
    socket.on('close', () => resolve(received));
  });
}

// Guards against a rejection that a caller takes for the response to its earlier request, which runs.
t.test('sends no rejection in place of the response to a running request', async (t) => {
  const { host } = await startHostWithRawServer(t, serve);
  for (const rest of ['POST /certs/2 HTTP/1.1\r\nHost: ', 'no request\r\n\r\n']) {
    const running = `${HEAD}Request-Id: ${RUNNING_ID}\r\nContent-Length: 1\r\n\r\nx`;
    const received = await readToEnd(host.callerPort, running + rest);
    t.notMatch(received, /^HTTP\/1.1 (400|408)/, JSON.stringify(rest));
  }
});

// Guards against a status that ends the request for good although it has not run and may be repeated.
t.test('answers an unfinished head with 408, and a malformed one with 400', async (t) => {
  const { host } = await startHostWithRawServer(t, serve);
  t.match(await readToEnd(host.callerPort, HEAD), /^HTTP\/1.1 408 /);
  t.match(await readToEnd(host.callerPort, 'no request\r\n\r\n'), /^HTTP\/1.1 400 /);
});
