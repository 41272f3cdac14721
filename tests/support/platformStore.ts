import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { StoreMode, type PlatformStore, type PlatformStoreOptions } from './platformStoreTypes.js';

export * from './platformStoreTypes.js';

interface StoredItem {
  key: string;
  value: string;
  revision: number;
  created: number;
  lease: number;
}

interface Change {
  key: string;
  revision: number;
  item?: StoredItem;
}

/** State of the store at one moment, from which it can be restored. */
interface StoreCopy {
  items: StoredItem[];
  leases: { lease: number; ttlMs: number }[];
  revision: number;
  lastLeaseId: number;
}

const WRITE_DELAY_MS = 2000; // the platform applies delayed writes after 1 s to 6 s
const RESPONSE_DELAY_MS = 500;
const RENEWAL_PRICE = 0.1; // of another call

async function readJson(incoming: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming as AsyncIterable<Buffer>) chunks.push(chunk);
  return chunks.length === 0
    ? {}
    : (JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>);
}

/** Starts a stand-in of the platform's store on a free port. */
export async function startPlatformStore(
  options: PlatformStoreOptions = {},
): Promise<PlatformStore> {
  const { transformValue = (_: string, value: string): string => value } = options;
  const items = new Map<string, StoredItem>();
  const leases = new Map<number, { timer: NodeJS.Timeout; ttlMs: number }>();
  const pendingWatches = new Set<() => void>();
  let changes: Change[] = [];
  let compactedRevision = 0;
  let revision = 1;
  let lastLeaseId = 100;
  let { epoch } = options;
  let copy: StoreCopy | undefined;
  /** What operators and servers have written last; undefined for a key that they have removed. */
  const outsideValues = new Map<string, string | undefined>();
  let mode: StoreMode = StoreMode.normal;
  const callsByKind = new Map<string, number>();

  const transformItem = (item: StoredItem): StoredItem => {
    const text = Buffer.from(item.value, 'base64').toString();
    return { ...item, value: Buffer.from(transformValue(item.key, text)).toString('base64') };
  };
  const recordChange = (change: Change): void => {
    changes.push(change);
    for (const notify of [...pendingWatches]) notify();
  };
  const put = (key: string, value: string, lease = 0): void => {
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    recordChange({ key, revision, item });
  };
  const remove = (key: string): void => {
    if (!items.delete(key)) return;
    recordChange({ key, revision });
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

  const takeCopy = (): void => {
    copy = {
      items: [...items.values()],
      leases: [...leases].map(([lease, { ttlMs }]) => ({ lease, ttlMs })),
      revision,
      lastLeaseId,
    };
    outsideValues.clear();
  };
  const restore = (): void => {
    if (copy === undefined) throw new Error('the store has no copy to be restored from');
    for (const { timer } of leases.values()) clearTimeout(timer);
    leases.clear();
    items.clear();
    ({ revision, lastLeaseId } = copy);
    for (const item of copy.items) items.set(item.key, item);
    for (const { lease, ttlMs } of copy.leases) startLease(lease, ttlMs);
    changes = [];
    compactedRevision = revision;
    epoch = (epoch ?? 0) + 1;
    for (const notify of [...pendingWatches]) notify();
  };
  const putFromOutside = (key: string, value: string): void => {
    outsideValues.set(key, value);
    revision += 1;
    put(key, value);
  };
  const removeFromOutside = (key: string): void => {
    outsideValues.set(key, undefined);
    revision += 1;
    remove(key);
  };
  const rewrite = (): void => {
    for (const [key, value] of [...outsideValues])
      if (value === undefined) removeFromOutside(key);
      else putFromOutside(key, value);
  };

  const transact = (body: Record<string, unknown>): { status: number; body: unknown } => {
    const expect = body.expect as { key: string; revision: number }[];
    const writes = body.set_keys as { key: string; value: string; lease?: number }[];
    const areExpectationsMet = expect.every(
      (row) => (items.get(row.key)?.revision ?? 0) === row.revision,
    );
    if (!areExpectationsMet)
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
    const epochAtArrival = epoch;
    const findChanges = (): Change[] =>
      changes.filter((change) => change.revision > after && change.key.startsWith(prefix));
    if (findChanges().length === 0)
      await new Promise<void>((resolve) => {
        const finish = (): void => {
          clearTimeout(timer);
          pendingWatches.delete(notify);
          resolve();
        };
        const notify = (): void => {
          if (findChanges().length > 0 || epoch !== epochAtArrival) finish();
        };
        const timer = setTimeout(finish, Number(query.get('wait_ms')));
        pendingWatches.add(notify);
      });
    if (after < compactedRevision || after > revision) return { status: 410, body: {} };
    const events = findChanges().map(({ key, revision: changeRevision, item }) =>
      item === undefined ? { key, revision: changeRevision, tombstone: true } : transformItem(item),
    );
    return { status: 200, body: { events, store_revision: revision } };
  };

  const handle = async (incoming: IncomingMessage): Promise<{ status: number; body: unknown }> => {
    const url = new URL(incoming.url ?? '/', 'http://store');
    const body = await readJson(incoming);
    const lease = Number(url.pathname.split('/').pop());
    if (url.pathname === '/api/kv-range') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const matchingItems = [...items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .map(transformItem);
      return {
        status: 200,
        body: { items: matchingItems, has_more: false, store_revision: revision },
      };
    }
    if (url.pathname === '/api/kv-watch') return watch(url.searchParams);
    if (url.pathname === '/api/kv-txn') return transact(body);
    if (url.pathname === '/api/kv-lease') {
      lastLeaseId += 1;
      const ttlMs = Number(body.ttl_ms);
      startLease(lastLeaseId, ttlMs);
      return { status: 200, body: { lease: lastLeaseId, ttl_ms: ttlMs } };
    }
    if (url.pathname.startsWith('/api/kv-keep/')) {
      const existingLease = leases.get(lease);
      if (existingLease === undefined) return { status: 404, body: {} };
      startLease(lease, existingLease.ttlMs);
      return { status: 200, body: { ttl_ms: existingLease.ttlMs } };
    }
    if (url.pathname.startsWith('/api/kv-lease-end/')) {
      endLease(lease);
      return { status: 200, body: {} };
    }
    return { status: 404, body: {} };
  };

  const sendResponse = (response: ServerResponse, status: number, body: unknown): void => {
    const epochHeader = epoch === undefined ? {} : { 'store-era': String(epoch) };
    response
      .writeHead(status, { 'content-type': 'application/json', ...epochHeader })
      .end(JSON.stringify(body));
  };

  const server = createServer((incoming, response) => {
    const kind = /^\/api\/([a-z-]+)/.exec(incoming.url ?? '')?.[1] ?? '';
    callsByKind.set(kind, (callsByKind.get(kind) ?? 0) + 1);
    const modeAtArrival = mode;
    if (modeAtArrival === StoreMode.silent) return;
    if (modeAtArrival === StoreMode.busy) {
      incoming.resume();
      sendResponse(response, 503, {});
      return;
    }
    const isWrite = incoming.url === '/api/kv-txn';
    if (modeAtArrival === StoreMode.delayWrites && isWrite) {
      void readJson(incoming).then((body) => {
        response.destroy();
        setTimeout(() => transact(body), WRITE_DELAY_MS);
      });
      return;
    }
    void handle(incoming).then(async ({ status, body }) => {
      if (modeAtArrival === StoreMode.slow) await wait(RESPONSE_DELAY_MS);
      if (modeAtArrival === StoreMode.loseResponse && incoming.method === 'POST')
        response.destroy();
      else sendResponse(response, status, body);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));

  return {
    endpoint: { address: '127.0.0.1', port: (server.address() as AddressInfo).port },
    put: (key, value) => {
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      putFromOutside(key, Buffer.from(text).toString('base64'));
    },
    remove: removeFromOutside,
    takeCopy,
    restore,
    rewrite,
    getEpoch: () => epoch ?? 0,
    read: (key) => {
      const item = items.get(key);
      return item === undefined
        ? undefined
        : (JSON.parse(Buffer.from(item.value, 'base64').toString()) as unknown);
    },
    compact: () => {
      changes = [];
      compactedRevision = revision;
      for (const notify of [...pendingWatches]) notify();
    },
    setMode: (newMode) => {
      mode = newMode;
    },
    countCalls: () => [...callsByKind.values()].reduce((sum, count) => sum + count, 0),
    countBilledCalls: () =>
      [...callsByKind].reduce(
        (sum, [kind, count]) => sum + count * (kind === 'kv-keep' ? RENEWAL_PRICE : 1),
        0,
      ),
    countCallsByKind: () => Object.fromEntries(callsByKind),
    close: async () => {
      for (const lease of [...leases.keys()]) endLease(lease);
      server.closeAllConnections();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
