import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { setTimeout, clearTimeout } from 'node:timers';
import { URL, URLSearchParams } from 'node:url';

/**
 * Stand-in of the platform's metadata store, as PROTOCOL.md describes it. Each machine gets a port of
 * its own, so that a script can treat machines differently.
 */
export class Store {
  items = new Map();
  leases = new Map();
  changes = [];
  compacted = 0;
  revision = 1;
  lastLease = 1000;
  era = undefined;
  watches = new Set();
  /** Called as (machine, path) for each call; returns 'ok', 'silent', 'reset', '503' or '429'. */
  judge = () => 'ok';
  servers = [];

  async listen(address, machine) {
    const server = createServer((incoming, response) => {
      this.#handle(machine, incoming, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, address, resolve));
    this.servers.push(server);
    return server.address().port;
  }

  close() {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    for (const finish of [...this.watches]) finish();
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a key as the operator or an engine does; text or JSON. */
  put(key, value, lease = 0) {
    this.revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.#write(key, Buffer.from(text).toString('base64'), lease);
    return this.revision;
  }

  remove(key) {
    this.revision += 1;
    this.#drop(key);
  }

  read(key) {
    const item = this.items.get(key);
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString();
  }

  takeCopy() {
    return {
      items: new Map(this.items),
      leases: [...this.leases].map(([id, { ttlMs }]) => ({ id, ttlMs })),
      revision: this.revision,
      lastLease: this.lastLease,
    };
  }

  /** Comes back from a copy: revisions and lease numbers are given out again. */
  restore(copy) {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.leases.clear();
    this.items = new Map(copy.items);
    this.revision = copy.revision;
    this.lastLease = copy.lastLease;
    for (const { id, ttlMs } of copy.leases) this.#startLease(id, ttlMs);
    this.changes = [];
    this.compacted = this.revision;
    this.era = (this.era ?? 0) + 1;
    for (const finish of [...this.watches]) finish();
  }

  #write(key, value, lease) {
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.#record({ ...item });
  }

  #drop(key) {
    if (!this.items.delete(key)) return;
    this.#record({ key, revision: this.revision, tombstone: true });
  }

  #record(change) {
    this.changes.push(change);
    if (this.changes.length > 20_000) {
      this.changes = this.changes.slice(-10_000);
      this.compacted = this.changes[0].revision - 1;
    }
    for (const finish of [...this.watches]) finish(change);
  }

  #startLease(id, ttlMs) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.#endLease(id), ttlMs) });
  }

  #endLease(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    this.revision += 1;
    for (const item of [...this.items.values()]) if (item.lease === id) this.#drop(item.key);
    return true;
  }

  async #handle(machine, incoming, response) {
    const chunks = [];
    for await (const chunk of incoming) chunks.push(chunk);
    const url = new URL(incoming.url, 'http://store');
    const verdict = this.judge(machine, url.pathname);
    if (verdict === 'silent') return;
    if (verdict === 'reset') {
      incoming.socket.resetAndDestroy();
      return;
    }
    if (verdict !== 'ok') {
      this.#send(response, Number(verdict), {});
      return;
    }
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
    const answer = await this.#answer(url, body, response);
    if (answer === undefined) return;
    // A watch that was waiting is cut like the rest.
    const now = this.judge(machine, url.pathname);
    if (now === 'silent') return;
    if (now === 'reset') {
      incoming.socket.resetAndDestroy();
      return;
    }
    setTimeout(() => this.#send(response, answer[0], answer[1]), 4);
  }

  #send(response, status, body) {
    const text = JSON.stringify(body);
    const era = this.era === undefined ? {} : { 'Store-Era': String(this.era) };
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      ...era,
    });
    response.end(text);
  }

  #answer(url, body, response) {
    const id = Number(url.pathname.split('/').pop());
    const query = url.searchParams ?? new URLSearchParams();
    if (url.pathname === '/api/kv-key') {
      const item = this.items.get(query.get('key'));
      return item === undefined
        ? [404, { store_revision: this.revision }]
        : [200, { ...item, store_revision: this.revision }];
    }
    if (url.pathname === '/api/kv-range') {
      const prefix = query.get('prefix') ?? '';
      const after = query.get('after') ?? '';
      const all = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((one, other) => (one.key < other.key ? -1 : 1));
      const items = all.slice(0, 500);
      return [200, { items, has_more: items.length < all.length, store_revision: this.revision }];
    }
    if (url.pathname === '/api/kv-watch') return this.#watch(query, response);
    if (url.pathname === '/api/kv-txn') return this.#transact(body);
    if (url.pathname === '/api/kv-lease') {
      this.lastLease += 1;
      const ttlMs = Math.min(600_000, Math.max(1000, body.ttl_ms));
      this.#startLease(this.lastLease, ttlMs);
      return [200, { lease: this.lastLease, ttl_ms: ttlMs }];
    }
    if (url.pathname.startsWith('/api/kv-keep/')) {
      const lease = this.leases.get(id);
      if (lease === undefined) return [404, {}];
      this.#startLease(id, lease.ttlMs);
      return [200, { lease: id, ttl_ms: lease.ttlMs }];
    }
    if (url.pathname.startsWith('/api/kv-lease-end/')) return [this.#endLease(id) ? 200 : 404, {}];
    return [404, {}];
  }

  #transact(body) {
    const expect = body.expect ?? [];
    const writes = body.set_keys ?? [];
    const removals = body.remove ?? [];
    const isMet = expect.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) return [412, { items: expect.flatMap(({ key }) => this.items.get(key) ?? []) }];
    const keys = [...writes.map(({ key }) => key), ...removals];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}];
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return [404, {}];
    this.revision += 1;
    for (const { key, value, lease = 0 } of writes) this.#write(key, value, lease);
    for (const key of removals) this.#drop(key);
    return [200, { revision: this.revision }];
  }

  async #watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const { era } = this;
    const find = () =>
      this.changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    if (find().length === 0 && after <= this.revision)
      await new Promise((resolve) => {
        const finish = (change) => {
          if (change !== undefined && !change.key.startsWith(prefix)) return;
          clearTimeout(timer);
          this.watches.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, Number(query.get('wait_ms')));
        this.watches.add(finish);
        response.once('close', () => finish());
      });
    if (response.destroyed) return undefined;
    if (after < this.compacted || after > this.revision || era !== this.era) return [410, {}];
    return [200, { events: find(), store_revision: this.revision }];
  }
}
