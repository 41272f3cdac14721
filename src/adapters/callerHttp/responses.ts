import type { ServerResponse } from 'node:http';
import { ExecutionOutcome, type RequestFailure } from '../../errors/index.js';
import type { CallerRequest } from './types.js';

/** Header that reports the execution outcome of a request. */
export const OUTCOME_HEADER = 'Bronzelanding-Outcome';

const PART_BYTES = 65_536;

const ERROR_TYPES: Record<number, string> = {
  400: 'invalid_request_error',
  401: 'authentication_error',
  404: 'not_found_error',
  409: 'conflict_error',
  413: 'invalid_request_error',
  422: 'invalid_request_error',
  429: 'rate_limit_error',
};

/** Builds an error body in the format of the OpenAI API. */
export function buildErrorBody(message: string, { status, code }: RequestFailure): string {
  const type = ERROR_TYPES[status] ?? 'server_error';
  return JSON.stringify({ error: { message, type, param: null, code } });
}

function isWritable(response: ServerResponse): boolean {
  return !response.destroyed && !response.writableEnded;
}

/** Sends a body; a long one in parts, because Node.js does not tell how much of one write has been taken. */
function sendBody(response: ServerResponse, body: Buffer | string): void {
  if (body.length <= PART_BYTES) {
    response.end(body);
    return;
  }
  const bytes = typeof body === 'string' ? Buffer.from(body) : body;
  let offset = 0;
  const sendNext = (): void => {
    while (offset < bytes.length) {
      const part = bytes.subarray(offset, offset + PART_BYTES);
      offset += part.length;
      if (response.write(part)) continue;
      response.once('drain', sendNext);
      return;
    }
    response.end();
  };
  sendNext();
}

/** Sends a JSON response that this host generated itself. */
export function sendJson(request: CallerRequest, status: number, body: unknown): void {
  sendResponse(request, status, { 'Content-Type': 'application/json' }, JSON.stringify(body));
}

/** Sends a complete response with its Content-Length; does nothing if one was already started. */
export function sendResponse(
  { response, id, guarded }: CallerRequest,
  status: number,
  headers: Record<string, string>,
  body: Buffer | string,
): void {
  if (!isWritable(response) || response.headersSent) return;
  // An unread body must not be taken for the next request, and a long one is not read.
  guarded.skipBody();
  response.writeHead(status, {
    ...headers,
    'X-Request-Id': id,
    'Content-Length': Buffer.byteLength(body),
  });
  sendBody(response, body);
}

/** Sends a failure: as a complete response, or as an error event when a stream has already started. */
export function sendFailure(
  request: CallerRequest,
  message: string,
  failure: RequestFailure,
): void {
  const { response } = request;
  const body = buildErrorBody(message, failure);
  if (response.headersSent) {
    if (isWritable(response)) response.end(`event: error\ndata: ${body}\n\n`);
    return;
  }
  const retryAfter: Record<string, string> =
    failure.retryAfterSeconds === undefined
      ? {}
      : { 'Retry-After': String(failure.retryAfterSeconds) };
  const headers = {
    'Content-Type': 'application/json',
    [OUTCOME_HEADER]: failure.outcome,
    ...retryAfter,
  };
  sendResponse(request, failure.status, headers, body);
}

/** Failure that is reported for unexpected errors. */
export const unexpectedFailure: RequestFailure = {
  status: 500,
  code: 'internal_error',
  outcome: ExecutionOutcome.unknown,
};
