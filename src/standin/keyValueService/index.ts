import { setTimeout as wait } from 'node:timers/promises';
import type { ServerResponse } from 'node:http';
import {
  openStandinServer,
  parseJsonBody,
  sendJsonResponse,
  type StandinRequest,
  type StandinServer,
} from '../http.js';
import { createKeyValueStore, type KeyEvent, type KeyValueStore } from './createKeyValueStore.js';

/** Injected faults of the key-value stand-in. */
export interface KeyValueFaults {
  /** Every connection is closed without a response, including those of open watches. */
  outage: boolean;
  /** Delay of each call in milliseconds. */
  slowMs: number;
  /** Number of writes that take effect but whose responses are lost. */
  loseWriteAnswers: number;
  /** Limits lost responses to writes of keys with this prefix; empty for all keys. */
  loseWritesOf: string;
}

/** Counts of calls by kind. */
export interface KeyValueCallCounts {
  read: number;
  write: number;
  watch: number;
  /** Number of watches that are open now. */
  standingWatches: number;
}

const EXPIRY_CHECK_INTERVAL_MS = 50;

interface PutRequest {
  key: string;
  value: string;
  lease?: string;
}

interface Transaction {
  compare?: { key: string; mod_revision?: string }[];
  success?: { request_put?: PutRequest }[];
  failure?: { request_range?: { key: string } }[];
}

function buildRangeResponse(store: KeyValueStore, key: string): { kvs?: unknown[] } {
  const stored = store.get(key);
  if (stored === undefined) return {};
  return { kvs: [{ key, value: stored.value, mod_revision: String(stored.modRevision) }] };
}

function runTransaction(store: KeyValueStore, transaction: Transaction): unknown {
  const isMatch = (transaction.compare ?? []).every(
    ({ key, mod_revision = '0' }) => String(store.get(key)?.modRevision ?? 0) === mod_revision,
  );
  if (isMatch)
    for (const { request_put: put } of transaction.success ?? [])
      if (put !== undefined) store.set(put.key, put.value, put.lease ?? '0');
  const responses = isMatch
    ? [{ response_put: {} }]
    : (transaction.failure ?? []).map(({ request_range: range }) => ({
        response_range: range === undefined ? {} : buildRangeResponse(store, range.key),
      }));
  return { header: { revision: String(store.getRevision()) }, succeeded: isMatch, responses };
}

function runLeaseCall(store: KeyValueStore, path: string, body: Record<string, unknown>): unknown {
  const id = typeof body.ID === 'string' ? body.ID : '0';
  if (path === '/v3/lease/grant') return { ID: store.grantLease(Number(body.TTL)), TTL: body.TTL };
  if (path === '/v3/lease/keepalive') {
    const seconds = store.renewLease(id);
    return { result: seconds > 0 ? { ID: id, TTL: String(seconds) } : { ID: id } };
  }
  store.releaseLease(id);
  return {};
}

function startWatch(store: KeyValueStore, key: string, response: ServerResponse): void {
  const send = (result: unknown): void => void response.write(`${JSON.stringify({ result })}\n`);
  response.writeHead(200, { 'content-type': 'application/json' });
  send({ created: true });
  const stop = store.watch((event: KeyEvent) => {
    if (event.key !== key) return;
    const kv = { key, value: event.value, mod_revision: String(event.modRevision) };
    send({ events: [{ ...(event.type === 'DELETE' ? { type: 'DELETE' } : {}), kv }] });
  });
  response.once('close', stop);
}

/** Opens an HTTP stand-in of the key-value service: the part of the etcd v3 JSON gateway that the adapter uses. */
export async function openKeyValueStandin(port = 0): Promise<
  StandinServer & {
    setFaults: (faults: Partial<KeyValueFaults>) => void;
    calls: KeyValueCallCounts;
  }
> {
  const store = createKeyValueStore(() => performance.now());
  const faults: KeyValueFaults = {
    outage: false,
    slowMs: 0,
    loseWriteAnswers: 0,
    loseWritesOf: '',
  };
  const calls: KeyValueCallCounts = { read: 0, write: 0, watch: 0, standingWatches: 0 };
  const watchResponses = new Set<ServerResponse>();

  const setFaults = (changes: Partial<KeyValueFaults>): void => {
    Object.assign(faults, changes);
    if (faults.outage) for (const response of watchResponses) response.destroy();
  };

  const isResponseLost = (body: Record<string, unknown>): boolean => {
    if (faults.loseWriteAnswers <= 0) return false;
    const key = (body as Transaction).success?.[0]?.request_put?.key ?? '';
    if (!Buffer.from(key, 'base64').toString().startsWith(faults.loseWritesOf)) return false;
    faults.loseWriteAnswers -= 1;
    return true;
  };

  const handleCall = ({ path, body: text, response, closeConnection }: StandinRequest): void => {
    const body = parseJsonBody(text);
    if (path === '/v3/kv/range') {
      calls.read += 1;
      sendJsonResponse(response, 200, buildRangeResponse(store, String(body.key)));
    } else if (path === '/v3/kv/txn') {
      calls.write += 1;
      const reply = runTransaction(store, body);
      if (isResponseLost(body)) closeConnection();
      else sendJsonResponse(response, 200, reply);
    } else if (path === '/v3/watch') {
      calls.watch += 1;
      calls.standingWatches += 1;
      watchResponses.add(response);
      response.once('close', () => {
        calls.standingWatches -= 1;
        watchResponses.delete(response);
      });
      startWatch(store, (body.create_request as { key: string }).key, response);
    } else if (path.startsWith('/v3/lease/')) {
      calls.write += 1;
      sendJsonResponse(response, 200, runLeaseCall(store, path, body));
    } else sendJsonResponse(response, 404, { error: `no ${path}` });
  };

  const expiryTimer = setInterval(store.expireLeases, EXPIRY_CHECK_INTERVAL_MS);
  const server = await openStandinServer(async (request) => {
    if (request.path === '/faults') {
      setFaults(parseJsonBody(request.body));
      sendJsonResponse(request.response, 200, faults);
      return;
    }
    if (request.path === '/calls') {
      sendJsonResponse(request.response, 200, calls);
      return;
    }
    if (faults.outage) {
      request.closeConnection();
      return;
    }
    if (faults.slowMs > 0) await wait(faults.slowMs);
    handleCall(request);
  }, port);
  return {
    ...server,
    setFaults,
    calls,
    close: async () => {
      clearInterval(expiryTimer);
      for (const response of watchResponses) response.destroy();
      await server.close();
    },
  };
}
