// A small stand-in of the platform's metadata store, as PROTOCOL.md describes it.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { readText } from './common.mjs';

const PAGE_ITEMS = 500;

/** Starts the store on a loopback address; resolves to its handle. */
export async function startStore(address) {
  const items = new Map();
  const leases = new Map();
  const watches = new Set();
  let changes = [];
  let revision = 10;
  let lastLease = 100;

  const wake = () => {
    for (const watch of [...watches]) watch();
  };
  const putItem = (key, value, lease) => {
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    changes.push(item);
  };
  const removeItem = (key) => {
    if (items.delete(key)) changes.push({ key, revision, tombstone: true });
  };
  const endLease = (id) => {
    const lease = leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    leases.delete(id);
    revision += 1;
    for (const { key, lease: owner } of [...items.values()]) if (owner === id) removeItem(key);
    wake();
    return true;
  };
  const renewLease = (id, ttlMs) => {
    clearTimeout(leases.get(id)?.timer);
    leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
  };
  const transact = ({ expect = [], set_keys: writes = [], remove = [] }) => {
    const isMet = expect.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
    if (!isMet) return [412, { items: expect.flatMap(({ key }) => items.get(key) ?? []) }];
    if (writes.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return [404, {}];
    const keys = [...writes.map(({ key }) => key), ...remove];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}];
    revision += 1;
    for (const { key, value, lease = 0 } of writes) putItem(key, value, lease);
    for (const key of remove) removeItem(key);
    wake();
    return [200, { revision }];
  };
  const watch = async (query) => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const find = () =>
      changes.filter((item) => item.revision > after && item.key.startsWith(prefix));
    if (find().length === 0)
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          watches.delete(check);
          resolve();
        };
        const check = () => {
          if (find().length > 0) finish();
        };
        const timer = setTimeout(finish, Number(query.get('wait_ms')));
        watches.add(check);
      });
    return [200, { events: find(), store_revision: revision }];
  };
  const answer = async (method, url, body) => {
    const { pathname, searchParams: query } = new URL(url, 'http://store');
    const id = Number(pathname.split('/').pop());
    if (pathname === '/api/kv-range') {
      const after = query.get('after') ?? '';
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(query.get('prefix') ?? '') && key > after)
        .sort((one, other) => (one.key < other.key ? -1 : 1));
      const page = found.slice(0, PAGE_ITEMS);
      return [200, { items: page, has_more: page.length < found.length, store_revision: revision }];
    }
    if (pathname === '/api/kv-key') {
      const item = items.get(query.get('key'));
      return item === undefined ? [404, {}] : [200, { ...item, store_revision: revision }];
    }
    if (pathname === '/api/kv-watch') return watch(query);
    if (pathname === '/api/kv-txn') return transact(JSON.parse(body));
    if (pathname === '/api/kv-lease') {
      lastLease += 1;
      const ttlMs = Math.max(1000, JSON.parse(body).ttl_ms);
      renewLease(lastLease, ttlMs);
      return [200, { lease: lastLease, ttl_ms: ttlMs }];
    }
    if (pathname.startsWith('/api/kv-keep/')) {
      const lease = leases.get(id);
      if (lease === undefined) return [404, {}];
      renewLease(id, lease.ttlMs);
      return [200, { ttl_ms: lease.ttlMs }];
    }
    if (pathname.startsWith('/api/kv-lease-end/')) return endLease(id) ? [200, {}] : [404, {}];
    return [404, {}];
  };
  /** Opens a port on which values are read as `view` gives them; resolves to its endpoint. */
  const open = async (view) => {
    const show = (item) =>
      item.value === undefined ? item : { ...item, value: view(item.key, item.value) };
    const server = createServer((incoming, response) => {
      readText(incoming)
        .then((body) => answer(incoming.method, incoming.url, body))
        .then(([status, body]) => {
          const shown = { ...body };
          for (const name of ['items', 'events'])
            if (shown[name]) shown[name] = shown[name].map(show);
          const text = JSON.stringify(shown);
          response.writeHead(status, { 'content-type': 'application/json' }).end(text);
        })
        .catch(() => response.destroy());
    });
    await new Promise((resolve) => server.listen(0, address, resolve));
    return `${address}:${server.address().port}`;
  };

  return {
    endpoint: await open((key, value) => value),
    open,
    /** Writes as the operator or a server does. */
    put: (key, value) => {
      revision += 1;
      putItem(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
      wake();
    },
    remove: (key) => {
      revision += 1;
      removeItem(key);
      wake();
    },
    read: (key) => {
      const item = items.get(key);
      return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
    },
  };
}
