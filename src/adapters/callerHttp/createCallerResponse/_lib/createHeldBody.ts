import type { ServerResponse } from 'node:http';
import { createChunkBuffer } from '../../../../common/createChunkBuffer.js';

/** A response that is held back until its length is known. */
export interface HeldBody {
  add: (chunk: Buffer) => void;
  /** Sends the response with its length. */
  send: () => void;
}

/** Options of a held body. */
export interface HeldBodyOptions {
  response: ServerResponse;
  status: number;
  /** Names and values by turns. */
  headers: readonly string[];
  /** Resolves to whether memory was found for the bytes. */
  reserve: (bytes: number) => Promise<boolean>;
  /** Ends the connection without the response, which is too long or finds no memory. */
  cutOff: () => void;
}

/** Longest response, in bytes, that is sent to callers that need its length. */
const MAX_HELD_BYTES = 262_144;

/** Holds back a response for a caller that would take every end of the connection for that of the response. */
export function createHeldBody(options: HeldBodyOptions): HeldBody {
  const { response, status, headers, reserve, cutOff } = options;
  const body = createChunkBuffer(undefined);
  let length = 0;
  let isCutOff = false;
  const stop = (): void => {
    if (isCutOff) return;
    isCutOff = true;
    body.drop();
    cutOff();
  };
  void reserve(MAX_HELD_BYTES).then((isReserved) => {
    if (!isReserved && !response.headersSent) stop();
  });
  return {
    add: (chunk) => {
      if (isCutOff) return;
      length += chunk.length;
      if (length > MAX_HELD_BYTES) stop();
      else body.add(chunk);
    },
    send: () => {
      if (isCutOff) return;
      response.writeHead(status, [...headers, 'content-length', String(length)]);
      response.end(length === 0 ? undefined : body.finish());
    },
  };
}
