import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

/** How the stand-in of the platform's store treats calls. */
export const StoreMode = {
  normal: 'sound',
  /** Answers 503 and does nothing. */
  busy: 'busy',
  /** Takes calls and never answers. */
  silent: 'silent',
  /** Does what is asked and closes the connection without an answer. */
  loseResponse: 'lost',
  /** Does writes some seconds after their connection was closed, if their conditions still hold. */
  delayWrites: 'late',
  /** Answers after half a second. */
  slow: 'slow',
} as const;
export type StoreMode = (typeof StoreMode)[keyof typeof StoreMode];

interface Item {
  key: string;
  value: string;
  revision: number;
  created: number;
  lease: number;
}

interface Change {
  key: string;
  revision: number;
  item?: Item;
}

/** A stand-in of the platform's store over its published protocol. */
export interface PlatformStore {
  endpoint: { address: string; port: number };
  put: (key: string, value: unknown) => void;
  remove: (key: string) => void;
  read: (key: string) => unknown;
  /** Drops the history, so that watches have to list anew. */
  compact: () => void;
  setMode: (mood: StoreMode) => void;
  countCalls: () => number;
  close: () => Promise<void>;
}

/** Options of the stand-in. */
export interface PlatformStoreOptions {
  /** Changes an item's text as it is read. */
  transformValue?: (key: string, value: string) => string;
}

const LATE_MS = 2000; // the shortest delay of a late write on the platform is 1 s, the longest 6 s
const SLOW_MS = 500;

async function readJson(incoming: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming as AsyncIterable<Buffer>) chunks.push(chunk);
  return chunks.length === 0
    ? {}
    : (JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>);
}

/** Starts a stand-in of the platform's store. */
export async function startPlatformStore(
  options: PlatformStoreOptions = {},
): Promise<PlatformStore> {
  const { transformValue: present = (_: string, value: string): string => value } = options;
  const items = new Map<string, Item>();
  const leases = new Map<number, { timer: NodeJS.Timeout; ttlMs: number }>();
  const watchers = new Set<() => void>();
  let changes: Change[] = [];
  let oldest = 0;
  let revision = 1;
  let nextLease = 100;
  let mood: StoreMode = StoreMode.normal;
  let calls = 0;

  const show = (item: Item): Item => {
    const text = Buffer.from(item.value, 'base64').toString();
    return { ...item, value: Buffer.from(present(item.key, text)).toString('base64') };
  };
  const record = (change: Change): void => {
    changes.push(change);
    for (const wake of [...watchers]) wake();
  };
  const put = (key: string, value: string, lease = 0): void => {
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    record({ key, revision, item });
  };
  const remove = (key: string): void => {
    if (!items.delete(key)) return;
    record({ key, revision });
  };
  const endLease = (lease: number): void => {
    clearTimeout(leases.get(lease)?.timer);
    leases.delete(lease);
    revision += 1;
    for (const item of [...items.values()]) if (item.lease === lease) remove(item.key);
  };
  const startLease = (lease: number, ttlMs: number): void => {
    clearTimeout(leases.get(lease)?.timer);
    leases.set(lease, { timer: setTimeout(() => endLease(lease), ttlMs), ttlMs });
  };

  const transact = (body: Record<string, unknown>): { status: number; body: unknown } => {
    const expect = body.expect as { key: string; revision: number }[];
    const writes = body.set_keys as { key: string; value: string; lease?: number }[];
    const isMet = expect.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
    if (!isMet)
      return { status: 412, body: { items: expect.flatMap((row) => items.get(row.key) ?? []) } };
    if (writes.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease)))
      return { status: 404, body: {} };
    revision += 1;
    for (const { key, value, lease = 0 } of writes) put(key, value, lease);
    for (const key of body.remove as string[]) remove(key);
    return { status: 200, body: { revision } };
  };

  const watch = async (query: URLSearchParams): Promise<{ status: number; body: unknown }> => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const find = (): Change[] =>
      changes.filter((change) => change.revision > after && change.key.startsWith(prefix));
    if (find().length === 0)
      await new Promise<void>((resolve) => {
        const finish = (): void => {
          clearTimeout(timer);
          watchers.delete(wake);
          resolve();
        };
        const wake = (): void => {
          if (find().length > 0) finish();
        };
        const timer = setTimeout(finish, Number(query.get('wait_ms')));
        watchers.add(wake);
      });
    if (after < oldest) return { status: 410, body: {} };
    const events = find().map(({ key, revision: at, item }) =>
      item === undefined ? { key, revision: at, tombstone: true } : show(item),
    );
    return { status: 200, body: { events, store_revision: revision } };
  };

  const handle = async (incoming: IncomingMessage): Promise<{ status: number; body: unknown }> => {
    const url = new URL(incoming.url ?? '/', 'http://store');
    const body = await readJson(incoming);
    const lease = Number(url.pathname.split('/').pop());
    if (url.pathname === '/api/kv-range') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix)).map(show);
      return { status: 200, body: { items: found, has_more: false, store_revision: revision } };
    }
    if (url.pathname === '/api/kv-watch') return watch(url.searchParams);
    if (url.pathname === '/api/kv-txn') return transact(body);
    if (url.pathname === '/api/kv-lease') {
      nextLease += 1;
      const ttlMs = Number(body.ttl_ms);
      startLease(nextLease, ttlMs);
      return { status: 200, body: { lease: nextLease, ttl_ms: ttlMs } };
    }
    if (url.pathname.startsWith('/api/kv-keep/')) {
      const known = leases.get(lease);
      if (known === undefined) return { status: 404, body: {} };
      startLease(lease, known.ttlMs);
      return { status: 200, body: { ttl_ms: known.ttlMs } };
    }
    if (url.pathname.startsWith('/api/kv-lease-end/')) {
      endLease(lease);
      return { status: 200, body: {} };
    }
    return { status: 404, body: {} };
  };

  const answer = (response: ServerResponse, status: number, body: unknown): void => {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  };

  const server = createServer((incoming, response) => {
    calls += 1;
    const atCall = mood;
    if (atCall === StoreMode.silent) return;
    if (atCall === StoreMode.busy) {
      incoming.resume();
      answer(response, 503, {});
      return;
    }
    const isWrite = incoming.url === '/api/kv-txn';
    if (atCall === StoreMode.delayWrites && isWrite) {
      void readJson(incoming).then((body) => {
        response.destroy();
        setTimeout(() => transact(body), LATE_MS);
      });
      return;
    }
    void handle(incoming).then(async ({ status, body }) => {
      if (atCall === StoreMode.slow) await wait(SLOW_MS);
      if (atCall === StoreMode.loseResponse && incoming.method === 'POST') response.destroy();
      else answer(response, status, body);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));

  return {
    endpoint: { address: '127.0.0.1', port: (server.address() as AddressInfo).port },
    put: (key, value) => {
      revision += 1;
      put(
        key,
        Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'),
      );
    },
    remove: (key) => {
      revision += 1;
      remove(key);
    },
    read: (key) => {
      const item = items.get(key);
      return item === undefined
        ? undefined
        : (JSON.parse(Buffer.from(item.value, 'base64').toString()) as unknown);
    },
    compact: () => {
      changes = [];
      oldest = revision;
      for (const wake of [...watchers]) wake();
    },
    setMode: (next) => {
      mood = next;
    },
    countCalls: () => calls,
    close: async () => {
      for (const lease of [...leases.keys()]) endLease(lease);
      server.closeAllConnections();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
