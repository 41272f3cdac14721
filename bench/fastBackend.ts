// A plain service that responds at once with a fixed body; the backend of the entry host and of the pass-through.
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

const body = JSON.stringify({ answer: 'dry' });
const server = createServer((incoming, response) => {
  incoming.resume();
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length });
  response.end(body);
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(
    `${JSON.stringify({ msg: 'listening', port: (server.address() as AddressInfo).port })}\n`,
  );
});
