// Baseline for the cost of the request path: a proxy that receives with node:http and sends with undici.
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent } from 'undici';

const [origin = ''] = process.argv.slice(2);
const agent = new Agent({ pipelining: 1 });
const server = createServer((incoming, response) => {
  void (async () => {
    const { method = 'GET', url = '/' } = incoming;
    const backendResponse = await agent.request({
      origin,
      method: method,
      path: url,
      headers: { accept: '*/*' },
    });
    const body = Buffer.from(await backendResponse.body.arrayBuffer());
    response.writeHead(backendResponse.statusCode, {
      'content-type': 'application/json',
      'content-length': body.length,
    });
    response.end(body);
  })();
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(
    `${JSON.stringify({ msg: 'listening', port: (server.address() as AddressInfo).port })}\n`,
  );
});
