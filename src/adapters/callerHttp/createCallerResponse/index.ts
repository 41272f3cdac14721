import type { ServerResponse } from 'node:http';
import type { CallerResponse } from '../../../ports/serving.js';
import { createHeldBody, type HeldBody } from './_lib/createHeldBody.js';

/** Options of createCallerResponse. */
export interface CallerResponseOptions {
  /** Whether the connection closes after this response. */
  isDraining: () => boolean;
  /** Reserves memory for a response that is held back; resolves to whether it was found. */
  reserve: (bytes: number) => Promise<boolean>;
}

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

function isLengthGiven(headers: readonly string[]): boolean {
  return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
}

/**
 * Creates the response to a caller on top of a Node.js response. A body without a length is sent in chunks, whatever
 * framing the server gave it: the last chunk tells that nothing is missing, which a connection that ends does not, as
 * the operating system ends those of a killed process regularly. Callers of HTTP/1.0 get it with its length instead.
 */
export function createCallerResponse(
  response: ServerResponse,
  { isDraining, reserve }: CallerResponseOptions,
): CallerResponse {
  const disconnect = new AbortController();
  let held: HeldBody | undefined;
  response.once('close', () => {
    if (!response.writableFinished) disconnect.abort();
  });
  const buildConnectionHeaders = (): string[] => (isDraining() ? ['connection', 'close'] : []);
  const resetConnection = (): void => {
    const { socket } = response;
    // It must not wait for bytes that are still to be written: a regular end would come before the reset.
    if (socket === null) response.destroy();
    else {
      socket.destroySoon = () => void socket.destroy();
      socket.resetAndDestroy();
    }
  };
  /** Whether the end of the connection would be all that tells the end of the body. */
  const isUnframed = (status: number, headers: readonly string[]): boolean =>
    !response.useChunkedEncodingByDefault &&
    response.req.method !== 'HEAD' &&
    !STATUSES_WITHOUT_BODY.has(status) &&
    !isLengthGiven(headers);
  return {
    isHeadSent: () => response.headersSent || held !== undefined,
    signal: disconnect.signal,
    sendHead: ({ status, headers }) => {
      const allHeaders = [...headers, ...buildConnectionHeaders()];
      if (isUnframed(status, headers))
        held = createHeldBody({
          response,
          status,
          headers: allHeaders,
          reserve,
          cutOff: resetConnection,
        });
      else response.writeHead(status, allHeaders);
    },
    write: (chunk) => {
      if (held === undefined) return response.write(chunk);
      held.add(chunk);
      return true;
    },
    onDrain: (resume) => response.once('drain', resume),
    end: () => {
      if (held === undefined) response.end();
      else held.send();
    },
    fail: (status, reason, retryAfterMs) => {
      const body = Buffer.from(JSON.stringify({ error: reason }));
      const retry =
        retryAfterMs === undefined ? [] : ['retry-after', (retryAfterMs / 1000).toFixed(2)];
      response.writeHead(status, [
        'content-type',
        'application/json',
        'content-length',
        String(body.length),
        ...retry,
        ...buildConnectionHeaders(),
      ]);
      response.end(body);
    },
    resetConnection,
  };
}
