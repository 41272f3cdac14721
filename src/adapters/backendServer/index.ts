import { buildConnector, type Client, type Dispatcher } from 'undici';
import { createResettingAgent } from '../http/createResettingAgent/index.js';
import { createResettingClient } from '../http/createResettingClient/index.js';
import { BaseError, formatError, ExecutionOutcome, RequestError } from '../../errors/index.js';

/** A backend server refused a call, or its response did not arrive completely. */
export const BackendServerError = BaseError.subclass('BackendServerError', {
  props: {
    /** `not-run` only if no byte of the request can have reached the server, or the server reported it. */
    outcome: ExecutionOutcome.unknown as ExecutionOutcome,
    /** The server reported that it is draining. */
    isLeaving: false,
    /** The server refused the request before running it. */
    isRefusal: false,
  },
});
export type BackendServerError = InstanceType<typeof BackendServerError>;

/** One call of a backend server. */
export interface BackendCall {
  /** For example `http://10.0.0.7:8000`. */
  origin: string;
  method: string;
  /** Path with query string. */
  path: string;
  headers: Record<string, string>;
  body?: Buffer | string;
  signal?: AbortSignal;
  /** Whether the call may be retried; one that may not uses a connection of its own. */
  idempotent: boolean;
}

/** Timeouts of calls in milliseconds. */
export interface BackendTimeouts {
  connectMs: number;
  /** From the request to the response head. */
  headersMs: number;
  /** Between two chunks of the response body. */
  bodyMs: number;
}

/** Response of a backend server: its head, and its body as an unread stream. */
export interface BackendResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Dispatcher.ResponseData['body'];
}

/** HTTP client that calls backend servers. */
export interface BackendServerClient {
  /** Rejects with BackendServerError, whose outcome tells whether the request may have run. */
  call: (call: BackendCall) => Promise<BackendResponse>;
  close: () => Promise<void>;
}

/** Header in which a backend server reports the execution outcome of a request. */
export const BACKEND_OUTCOME_HEADER = 'bronzelanding-outcome';
/** Header by which a backend server reports that it is draining and takes no new requests. */
export const LEAVING_HEADER = 'bronzelanding-leaving';

const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function isConnectError(error: unknown): boolean {
  const code = (error as { code?: unknown } | undefined)?.code;
  return typeof code === 'string' && CONNECT_ERROR_CODES.has(code);
}

/**
 * Creates a client for one request on one connection. It never opens a second connection, so that a
 * request can only have reached the server if that connection was established.
 */
function createSingleUseClient(
  origin: string,
  timeouts: BackendTimeouts,
): { client: Client; wasConnected: () => boolean } {
  const connect = buildConnector({ timeout: timeouts.connectMs });
  let connectionAttempts = 0;
  let isConnected = false;
  const client = createResettingClient(origin, {
    pipelining: 1,
    headersTimeout: timeouts.headersMs,
    bodyTimeout: timeouts.bodyMs,
    connect: (options, callback) => {
      connectionAttempts += 1;
      if (connectionAttempts > 1) {
        callback(new Error('the connection of this request is gone'), null);
        return;
      }
      connect(options, (...result) => {
        isConnected = result[0] === null;
        callback(...result);
      });
    },
  });
  return { client, wasConnected: () => isConnected };
}

function checkRefusal(response: BackendResponse): void {
  if (response.headers[BACKEND_OUTCOME_HEADER] !== ExecutionOutcome.notRun) return;
  response.body.on('error', () => undefined).destroy();
  throw new BackendServerError(`the backend server refused with status ${response.status}`, {
    props: {
      outcome: ExecutionOutcome.notRun,
      isRefusal: true,
      isLeaving: response.headers[LEAVING_HEADER] === 'true',
    },
  });
}

/** Creates a backend server client over undici, without pipelining. */
export function createBackendServerClient(timeouts: BackendTimeouts): BackendServerClient {
  const agent = createResettingAgent({
    connect: { timeout: timeouts.connectMs },
    pipelining: 1,
    headersTimeout: timeouts.headersMs,
    bodyTimeout: timeouts.bodyMs,
  });

  const send = async (dispatcher: Dispatcher, call: BackendCall): Promise<BackendResponse> => {
    const { origin, method, path, headers, body, signal } = call;
    const undiciResponse = await dispatcher.request({
      origin,
      method,
      path,
      headers,
      body,
      signal,
    });
    return {
      status: undiciResponse.statusCode,
      headers: undiciResponse.headers,
      body: undiciResponse.body,
    };
  };

  const callPooled = async (call: BackendCall): Promise<BackendResponse> => {
    try {
      return await send(agent, call);
    } catch (cause) {
      const outcome = isConnectError(cause) ? ExecutionOutcome.notRun : ExecutionOutcome.unknown;
      throw new BackendServerError(formatError(cause), { cause, props: { outcome } });
    }
  };

  const callOnce = async (call: BackendCall): Promise<BackendResponse> => {
    const { client, wasConnected } = createSingleUseClient(call.origin, timeouts);
    try {
      const response = await send(client, call);
      response.body.once('close', () => void client.destroy());
      return response;
    } catch (cause) {
      void client.destroy();
      const outcome = wasConnected() ? ExecutionOutcome.unknown : ExecutionOutcome.notRun;
      throw new BackendServerError(formatError(cause), { cause, props: { outcome } });
    }
  };

  return {
    call: async (call) => {
      const response = await (call.idempotent ? callPooled(call) : callOnce(call));
      checkRefusal(response);
      return response;
    },
    close: () => agent.destroy(),
  };
}

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

const FIRST_RESERVATION_BYTES = 65_536; // of a response that announces no length

/** Bounds of a response body that is read whole. */
export interface ResponseBodyOptions {
  maximumBytes: number;
  /** Milliseconds from the head of the response to its end. */
  maximumMs: number;
  /** Resolves once there is memory for the bytes; rejects if there is none. */
  reserveMemory?: (bytes: number) => Promise<void>;
}

/**
 * Reads a complete response body, after `reserveMemory` has resolved for its length. Rejects with
 * BackendServerError when the body is truncated or over a limit, and when it has no framing by which
 * a truncation could be detected.
 */
export async function readResponseBody(
  response: BackendResponse,
  options: ResponseBodyOptions,
): Promise<Buffer> {
  const { maximumBytes, maximumMs, reserveMemory = () => Promise.resolve() } = options;
  const { headers, status } = response;
  const isDelimited =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    STATUSES_WITHOUT_BODY.has(status);
  const chunks: Buffer[] = [];
  let length = 0;
  const announced = Number(headers['content-length']);
  let reservedBytes = announced <= maximumBytes ? announced : FIRST_RESERVATION_BYTES;
  const reserve = async (bytes: number): Promise<void> => {
    try {
      await reserveMemory(bytes);
    } catch (error) {
      response.body.on('error', () => undefined).destroy();
      throw error;
    }
  };
  await reserve(reservedBytes);
  const timer = setTimeout(() => {
    response.body.destroy(new Error(`the answer took more than ${maximumMs} ms`));
  }, maximumMs);
  try {
    // Common case: undici checks the body against its Content-Length.
    if (announced <= maximumBytes) return Buffer.from(await response.body.arrayBuffer());
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > maximumBytes) throw new Error(`the answer is over ${maximumBytes} bytes`);
      chunks.push(chunk);
      if (length <= reservedBytes) continue;
      await reserve(maximumBytes - reservedBytes);
      reservedBytes = maximumBytes;
    }
  } catch (cause) {
    if (cause instanceof RequestError) throw cause;
    throw new BackendServerError(`the answer was cut: ${formatError(cause)}`, { cause });
  } finally {
    clearTimeout(timer);
  }
  if (!isDelimited)
    throw new BackendServerError('the answer has no length, so that a cut could not be noticed');
  return Buffer.concat(chunks, length);
}
