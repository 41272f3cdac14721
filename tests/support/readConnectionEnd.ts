import { connect } from 'node:net';
import { API_KEY } from './platformFleet.js';

/** What a caller receives on a connection until it ends, and how it ends. */
export interface RawResponse {
  text: string;
  end: 'end' | 'reset';
}

/**
 * Sends a request by hand and reads the connection to its end. An HTTP client may take a reset for
 * the end of a response without a length, and drop what came before it.
 */
export function readRawResponse(
  port: number,
  path: string,
  headers: Readonly<Record<string, string>> = {},
  { httpVersion = '1.1' }: { httpVersion?: string } = {},
): Promise<RawResponse> {
  return new Promise((resolve) => {
    let text = '';
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const socket = connect(port, '127.0.0.1');
    socket.write(
      `POST ${path} HTTP/${httpVersion}\r\nHost: depots.example\r\nAuthorization: Bearer ${API_KEY}\r\n` +
        `Request-Id: by-hand\r\n${lines.join('')}Content-Length: 1\r\n\r\nx`,
    );
    socket.on('data', (chunk) => (text += chunk.toString()));
    socket.on('error', () => resolve({ text, end: 'reset' }));
    socket.on('end', () => resolve({ text, end: 'end' }));
  });
}

/** Sends a request by hand and tells how the connection ends. */
export async function readConnectionEnd(port: number, path = '/certs/1'): Promise<'end' | 'reset'> {
  return (await readRawResponse(port, path)).end;
}
