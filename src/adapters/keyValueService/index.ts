import { request, type Dispatcher } from 'undici';
import { createResettingAgent } from '../http/createResettingAgent/index.js';
import { readLines } from './_lib/readLines.js';
import { KeyValueServiceError } from '../../errors/index.js';
import type { KeyValueEntry, KeyValueService, SwapResult } from '../../ports/keyValueService.js';
import {
  decodeBase64,
  encodeBase64,
  keepAliveReply,
  leaseReply,
  rangeReply,
  transactionReply,
  watchReply,
} from './messages.js';
import type { z } from 'zod';

/** Kinds of key-value calls, as the platform counts them. */
export const CallKind = { read: 'read', write: 'write', watch: 'watch' } as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** Options of the etcd v3 JSON gateway adapter. */
export interface EtcdOptions {
  /** Timeout of a call in milliseconds; watches have none. */
  timeoutMs?: number;
  /** Called before each call is sent. */
  onCall?: (kind: CallKind) => void;
  /** Called for each valid response, and for each message of a watch. */
  onResponse?: () => void;
}

function toEntry(reply: z.infer<typeof rangeReply>): KeyValueEntry | undefined {
  const [first] = reply.kvs;
  if (first === undefined) return undefined;
  return { value: decodeBase64(first.value), revision: first.mod_revision };
}

/** Creates a key-value service that calls the etcd v3 JSON gateway at an origin such as `http://10.0.0.1:2379`. */
export function createEtcdKeyValueService(
  origin: string,
  options: EtcdOptions = {},
): KeyValueService & { close: () => Promise<void> } {
  const { timeoutMs = 1000, onCall = () => undefined, onResponse = () => undefined } = options;
  const agent = createResettingAgent({
    connect: { timeout: timeoutMs },
    pipelining: 1,
    bodyTimeout: 0,
  });

  const post = (
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> =>
    request(`${origin}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      dispatcher: agent,
      signal,
    });

  const call = async <T>(
    kind: CallKind,
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<T> => {
    onCall(kind);
    try {
      const { statusCode, body: responseBody } = await post(
        path,
        body,
        AbortSignal.timeout(timeoutMs),
      );
      const text = await responseBody.text();
      if (statusCode !== 200)
        throw new KeyValueServiceError(`${path} responded with status ${statusCode}`);
      const parsed = schema.parse(JSON.parse(text));
      onResponse();
      return parsed;
    } catch (cause) {
      throw new KeyValueServiceError(`call to ${path} failed`, { cause });
    }
  };

  const get = async (key: string): Promise<KeyValueEntry | undefined> =>
    toEntry(await call(CallKind.read, '/v3/kv/range', { key: encodeBase64(key) }, rangeReply));

  const compareAndSwap: KeyValueService['compareAndSwap'] = async (
    key,
    expectedRevision,
    value,
    { lease } = {},
  ): Promise<SwapResult> => {
    const encodedKey = encodeBase64(key);
    const put = {
      key: encodedKey,
      value: encodeBase64(value),
      ...(lease === undefined ? {} : { lease }),
    };
    const reply = await call(
      CallKind.write,
      '/v3/kv/txn',
      {
        compare: [
          {
            key: encodedKey,
            target: 'MOD',
            result: 'EQUAL',
            mod_revision: String(expectedRevision),
          },
        ],
        success: [{ request_put: put }],
        failure: [{ request_range: { key: encodedKey } }],
      },
      transactionReply,
    );
    if (reply.succeeded) return { swapped: true, revision: reply.header.revision };
    const range = reply.responses[0]?.response_range;
    return { swapped: false, current: range === undefined ? undefined : toEntry(range) };
  };

  const watch: KeyValueService['watch'] = async (key, onChange, signal) => {
    onCall(CallKind.watch);
    try {
      const body = { create_request: { key: encodeBase64(key) } };
      const { statusCode, body: responseBody } = await post('/v3/watch', body, signal);
      if (statusCode !== 200)
        throw new KeyValueServiceError(`/v3/watch responded with status ${statusCode}`);
      for await (const line of readLines(responseBody as AsyncIterable<Uint8Array>)) {
        const { result } = watchReply.parse(JSON.parse(line));
        onResponse();
        if (result.canceled) throw new KeyValueServiceError('watch cancelled by the server');
        // Reading the value only after the watch was created ensures that no change is missed in between.
        if (result.created) onChange(await get(key));
        for (const { type, kv } of result.events)
          onChange(type === 'DELETE' ? undefined : toEntry({ kvs: [kv] }));
      }
    } catch (cause) {
      if (!signal.aborted) throw new KeyValueServiceError('watch failed', { cause });
    }
    if (!signal.aborted) throw new KeyValueServiceError('watch stream ended');
  };

  return {
    get,
    compareAndSwap,
    watch,
    grantLease: async (seconds) => {
      const body = { TTL: String(seconds), ID: '0' };
      return (await call(CallKind.write, '/v3/lease/grant', body, leaseReply)).ID;
    },
    renewLease: async (lease) => {
      const reply = await call(
        CallKind.write,
        '/v3/lease/keepalive',
        { ID: lease },
        keepAliveReply,
      );
      return reply.result.TTL > 0;
    },
    releaseLease: async (lease) => {
      await call(CallKind.write, '/v3/lease/revoke', { ID: lease }, leaseReply.partial());
    },
    close: () => agent.destroy(),
  };
}
