import { createRequestError, ExecutionOutcome, type RequestFailure } from '../../errors/index.js';
import { BodyFailure } from './createClientGuard/types.js';
import type { CallerRequest } from './types.js';

const { notRun: outcome } = ExecutionOutcome;

const FAILURES: Readonly<Record<BodyFailure, RequestFailure & { message: string }>> = {
  [BodyFailure.cut]: {
    message: 'the body broke off',
    status: 400,
    code: 'body_broken_off',
    outcome,
  },
  [BodyFailure.tooLarge]: {
    message: 'the body is too large',
    status: 413,
    code: 'body_too_large',
    outcome,
  },
  [BodyFailure.tooSlow]: {
    message: 'the body arrives too slowly',
    status: 408,
    code: 'body_too_slow',
    outcome,
  },
  [BodyFailure.noMemory]: {
    message: 'too many bodies are being received',
    status: 503,
    code: 'overloaded',
    outcome,
    retryAfterSeconds: 1,
  },
};

/** Reads a request body; rejects with a RequestError when it exceeds a limit or ends early. */
export async function readBody(request: CallerRequest, maximumBytes: number): Promise<Buffer> {
  const body = await request.guarded.readBody(maximumBytes);
  if (Buffer.isBuffer(body)) return body;
  const { message, ...failure } = FAILURES[body];
  throw createRequestError(message, failure);
}
