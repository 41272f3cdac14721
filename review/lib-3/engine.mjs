// A server of a service without models, as a process of its own. It prints one line of JSON for each request that it
// begins and for each answer that it has written to its end.
import { createServer } from 'node:http';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const settings = JSON.parse(process.argv[2]);
const { id, address, port } = settings;
let failingShare = 0;
// SIGUSR2 makes the server fail a part of its requests, and stop that, while its health check stays good.
process.on('SIGUSR2', () => {
  failingShare = failingShare > 0 ? 0 : settings.failingShare;
});
const tell = (event) => process.stdout.write(`${JSON.stringify({ id, ...event })}\n`);

const server = createServer((incoming, response) => {
  let bodyBytes = 0;
  incoming.on('data', (chunk) => (bodyBytes += chunk.length));
  incoming.on('end', () => answer(incoming, response, bodyBytes));
});

function answer(incoming, response, bodyBytes) {
  const requestId = incoming.headers['request-id'];
  if (incoming.url === '/health') {
    response.writeHead(200, { 'instance-id': id, 'content-length': 0 }).end();
    return;
  }
  if (
    incoming.headers['expect-instance'] !== undefined &&
    incoming.headers['expect-instance'] !== id
  ) {
    response
      .writeHead(421, { 'instance-id': id, 'request-id': requestId, 'content-length': 0 })
      .end();
    return;
  }
  const { method, url: target } = incoming;
  // A service may answer each of its paths in another way.
  const { pieces, pieceMs, pieceBytes, framing } = { ...settings, ...settings.paths?.[target] };
  const headerLines = incoming.rawHeaders.length / 2;
  const count = incoming.headers['token-count'];
  tell({ event: 'runs', requestId, method, target, bodyBytes, headerLines, count });
  const headers = { 'request-id': requestId, 'server-seal': `seal.${id}.${requestId}` };
  if (Math.random() < failingShare) {
    response.writeHead(500, { ...headers, 'content-length': 0 }).end();
    return;
  }
  if (framing === 'none') {
    // No length and no chunks: the answer ends with its connection.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  } else headers['content-length'] = pieces * pieceBytes;
  response.writeHead(200, headers);
  let written = 0;
  const writeNext = () => {
    if (response.destroyed) return;
    written += 1;
    const text = `${requestId} piece ${written} of ${pieces} `;
    response.write(text.padEnd(pieceBytes - 1, '.') + '\n');
    if (written < pieces) {
      setTimeout(writeNext, pieceMs);
      return;
    }
    response.end();
    tell({ event: 'whole', requestId });
  };
  writeNext();
}
// All header lines of a request count here, however many there are.
server.maxHeadersCount = 0;
// The server states this in Keep-Alive.
if (settings.idleMs !== undefined) server.keepAliveTimeout = settings.idleMs;
server.listen(port, address, () => tell({ event: 'listens' }));
