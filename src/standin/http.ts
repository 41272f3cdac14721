import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** One request to a stand-in, with its complete body. */
export interface StandinRequest {
  method: string;
  path: string;
  query: string;
  headers: IncomingMessage['headers'];
  body: string;
  response: ServerResponse;
  /** Closes the connection without a response. */
  closeConnection: () => void;
}

/** HTTP server of a stand-in. */
export interface StandinServer {
  port: number;
  origin: string;
  close: () => Promise<void>;
}

/** Sends a JSON response with its Content-Length. */
export function sendJsonResponse(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Parses a body as a JSON object; an empty body gives an empty object. */
export function parseJsonBody(body: string): Record<string, unknown> {
  return body === '' ? {} : (JSON.parse(body) as Record<string, unknown>);
}

async function readText(incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

function startListening(server: Server, address: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
}

/** Opens the HTTP server of a stand-in, on the loopback address by default; port 0 picks a free port. */
export async function openStandinServer(
  handle: (request: StandinRequest) => void | Promise<void>,
  port = 0,
  address = '127.0.0.1',
): Promise<StandinServer> {
  const server = createServer((incoming, response) => {
    const url = incoming.url ?? '/';
    const [path = '/', query = ''] = url.split('?', 2);
    const handleRequest = async (): Promise<void> => {
      const body = await readText(incoming);
      await handle({
        method: incoming.method ?? 'GET',
        path,
        query,
        headers: incoming.headers,
        body,
        response,
        closeConnection: () => incoming.socket.destroy(),
      });
    };
    response.on('error', () => undefined);
    handleRequest().catch((error: unknown) => {
      if (response.headersSent || response.destroyed) response.destroy();
      else sendJsonResponse(response, 500, { error: String(error) });
    });
  });
  server.keepAliveTimeout = 30_000;
  await startListening(server, address, port);
  const { port: actualPort } = server.address() as AddressInfo;
  return {
    port: actualPort,
    origin: `http://${address}:${actualPort}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
