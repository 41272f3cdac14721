import type { IncomingMessage } from 'node:http';
import { createRequestError, ExecutionOutcome } from '../../errors/index.js';

const EMPTY_BODY = Buffer.alloc(0);

/** Reads a request body; rejects with a RequestError when it is too large or ends early. */
export async function readBody(incoming: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const rejectTooLarge = (): never => {
    throw createRequestError(`the body is over ${maximumBytes} bytes`, {
      status: 413,
      code: 'body_too_large',
      outcome: ExecutionOutcome.notRun,
    });
  };
  if (Number(incoming.headers['content-length'] ?? 0) > maximumBytes) rejectTooLarge();
  const { headers } = incoming;
  const hasBody =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (!hasBody) return EMPTY_BODY;
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > maximumBytes) break;
      chunks.push(chunk);
    }
  } catch {
    throw createRequestError('the body broke off', {
      status: 400,
      code: 'body_broken_off',
      outcome: ExecutionOutcome.notRun,
    });
  }
  if (length > maximumBytes) rejectTooLarge();
  return Buffer.concat(chunks, length);
}
