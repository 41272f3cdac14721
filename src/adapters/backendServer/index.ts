import { Agent, buildConnector, Client, type Dispatcher } from 'undici';
import { BaseError, formatError, ExecutionOutcome } from '../../errors/index.js';

/** A call of a backend server that brought no whole answer. */
export const BackendServerError = BaseError.subclass('BackendServerError', {
  props: {
    /** `not-run` only if no byte of the request can have reached the server, or it said so itself. */
    outcome: ExecutionOutcome.unknown as ExecutionOutcome,
    /** The server said that it is leaving. */
    isLeaving: false,
    /** The server itself refused. */
    isRefusal: false,
  },
});
export type BackendServerError = InstanceType<typeof BackendServerError>;

/** One call of a backend server. */
export interface BackendCall {
  /** Such as `http://10.0.0.7:8000`. */
  origin: string;
  method: string;
  /** Path with query. */
  path: string;
  headers: Record<string, string>;
  body?: Buffer | string;
  signal?: AbortSignal;
  /** Whether the call may be repeated; one that may not gets a connection of its own. */
  idempotent: boolean;
}

/** Time limits of calls in milliseconds. */
export interface BackendTimeouts {
  connectMs: number;
  /** From the request to the answer's head. */
  headersMs: number;
  /** Between two pieces of the answer's body. */
  bodyMs: number;
}

/** The head of a backend server's answer; the body is still to be read. */
export interface BackendResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Dispatcher.ResponseData['body'];
}

/** Calls backend servers. */
export interface BackendServerClient {
  /** Rejects with BackendServerError, whose outcome says whether the request can have run. */
  call: (call: BackendCall) => Promise<BackendResponse>;
  close: () => Promise<void>;
}

/** Header by which a backend server says what became of a request. */
export const OUTCOME_HEADER = 'bronzelanding-outcome';
/** Header by which a backend server says that it takes no new work. */
export const LEAVING_HEADER = 'bronzelanding-leaving';

const CONNECT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function isConnectError(error: unknown): boolean {
  const code = (error as { code?: unknown } | undefined)?.code;
  return typeof code === 'string' && CONNECT_ERRORS.has(code);
}

/** Creates a client for one connection and one request; a second connection is never opened. */
function createSingleUseClient(
  origin: string,
  timeouts: BackendTimeouts,
): { client: Client; wasConnected: () => boolean } {
  const connect = buildConnector({ timeout: timeouts.connectMs });
  let connections = 0;
  let isConnected = false;
  const client = new Client(origin, {
    pipelining: 1,
    headersTimeout: timeouts.headersMs,
    bodyTimeout: timeouts.bodyMs,
    connect: (options, callback) => {
      connections += 1;
      if (connections > 1) {
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

function checkRefusal(answer: BackendResponse): void {
  if (answer.headers[OUTCOME_HEADER] !== ExecutionOutcome.notRun) return;
  answer.body.on('error', () => undefined).destroy();
  throw new BackendServerError(`the backend server refused with status ${answer.status}`, {
    props: {
      outcome: ExecutionOutcome.notRun,
      isRefusal: true,
      isLeaving: answer.headers[LEAVING_HEADER] === 'true',
    },
  });
}

/** Creates the calls of backend servers over undici, without pipelining. */
export function createBackendServerClient(timeouts: BackendTimeouts): BackendServerClient {
  const agent = new Agent({
    connect: { timeout: timeouts.connectMs },
    pipelining: 1,
    headersTimeout: timeouts.headersMs,
    bodyTimeout: timeouts.bodyMs,
  });

  const send = async (dispatcher: Dispatcher, call: BackendCall): Promise<BackendResponse> => {
    const { origin, method, path, headers, body, signal } = call;
    const reply = await dispatcher.request({ origin, method, path, headers, body, signal });
    return { status: reply.statusCode, headers: reply.headers, body: reply.body };
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
      const answer = await send(client, call);
      answer.body.once('close', () => void client.destroy());
      return answer;
    } catch (cause) {
      void client.destroy();
      const outcome = wasConnected() ? ExecutionOutcome.unknown : ExecutionOutcome.notRun;
      throw new BackendServerError(formatError(cause), { cause, props: { outcome } });
    }
  };

  return {
    call: async (call) => {
      const answer = await (call.idempotent ? callPooled(call) : callOnce(call));
      checkRefusal(answer);
      return answer;
    },
    close: () => agent.destroy(),
  };
}

const BODYLESS_STATUSES = new Set([204, 304]);

/** Reads a whole body; rejects with BackendServerError when it is cut short or above the limit. */
export async function readResponseBody(
  answer: BackendResponse,
  maximumBytes: number,
): Promise<Buffer> {
  const { headers, status } = answer;
  const isDelimited =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    BODYLESS_STATUSES.has(status);
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    // The usual case: undici itself checks the body against its length.
    if (Number(headers['content-length']) <= maximumBytes)
      return Buffer.from(await answer.body.arrayBuffer());
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > maximumBytes) throw new Error(`the answer is over ${maximumBytes} bytes`);
      chunks.push(chunk);
    }
  } catch (cause) {
    throw new BackendServerError(`the answer was cut: ${formatError(cause)}`, { cause });
  }
  if (!isDelimited)
    throw new BackendServerError('the answer has no length, so that a cut could not be noticed');
  return Buffer.concat(chunks, length);
}
