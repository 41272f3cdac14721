import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

/**
 * Stand-in of an engine, as PROTOCOL.md describes it: requests, streams, orders, reports and its
 * entry in the store. `answer` may replace how a request that runs is answered.
 */
export class Engine {
  constructor(options) {
    this.id = options.id;
    this.service = options.service;
    this.address = options.address;
    this.store = options.store;
    this.record = options.record ?? (() => undefined);
    this.zone = options.zone ?? 'zone-a';
    this.slots = options.slots ?? 64;
    this.workMs = options.workMs ?? 30;
    this.loadMs = options.loadMs ?? 1200;
    this.adapterMs = options.adapterMs ?? 8;
    this.beatMs = options.beatMs ?? 1200;
    this.answer = options.answer;
    this.models = new Map((options.models ?? []).map((name) => [name, new Set()]));
    this.born = Date.now();
    this.sequence = 0;
    this.beats = 0;
    this.isBusy = false;
    this.state = 'ready';
  }

  async start() {
    this.server = createServer((incoming, response) => this.#receive(incoming, response));
    this.server.keepAliveTimeout = 10_000;
    await new Promise((resolve) => this.server.listen(this.port ?? 0, this.address, resolve));
    this.port = this.server.address().port;
    this.register();
    this.timer = setInterval(() => this.register(), this.beatMs);
    return this;
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  describe() {
    return [...this.models].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));
  }

  register() {
    this.beats += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `${this.address}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      stage: 'combined',
      models: this.describe(),
      sequence: this.beats,
      born: this.born,
    });
  }

  #receive(incoming, response) {
    const { headers, url } = incoming;
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('error', () => undefined);
    response.on('error', () => undefined);
    incoming.on('end', () => {
      const body = Buffer.concat(chunks);
      const expected = headers['expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'Instance-Id': this.id, 'Content-Length': 0 }).end();
        return;
      }
      if (url === '/api/report') this.#report(response);
      else if (url === '/api/order') this.#order(JSON.parse(body.toString()), response);
      else if (url === '/health')
        response.writeHead(200, { 'Instance-Id': this.id, 'Content-Length': 0 }).end();
      else this.#run(incoming, response, body);
    });
  }

  #json(response, status, body) {
    const text = JSON.stringify(body);
    response
      .writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      })
      .end(text);
  }

  #report(response) {
    this.#json(response, 200, {
      stage: 'combined',
      models: this.describe(),
      busy: this.isBusy,
      sequence: this.sequence,
      queued: 0,
      active: 0,
      kv_used: 0,
      kv_total: 232_000,
      handles: 0,
      loading: [],
      born: this.born,
    });
  }

  #order(order, response) {
    const entry = { engine: this.id, atMs: performance.now(), at: Date.now(), ...order };
    const { op_type: action, model, adapter } = order;
    const held = this.models.get(model);
    const isHeld = adapter === undefined ? held !== undefined : held?.has(adapter) === true;
    const reply = (status) => {
      this.record('order', { ...entry, status });
      this.#json(response, status, {});
    };
    if (order.holder === undefined || order.fence === undefined) return reply(400);
    if (order.expect !== undefined && order.expect !== this.sequence) return reply(409);
    if (adapter === undefined && this.isBusy) return reply(409);
    if ((action === 'load') === isHeld) return reply(200);
    this.sequence += 1;
    if (adapter !== undefined) {
      if (action === 'load') setTimeout(() => held?.add(adapter), this.adapterMs);
      else held?.delete(adapter);
      return reply(action === 'load' ? 202 : 200);
    }
    this.isBusy = true;
    setTimeout(
      () => {
        this.isBusy = false;
        if (action === 'load') this.models.set(model, new Set());
        else this.models.delete(model);
        this.register();
      },
      action === 'load' ? this.loadMs : 50,
    );
    return reply(202);
  }

  #run(incoming, response, body) {
    const { headers } = incoming;
    const requestId = headers['request-id'];
    const common = { 'Request-Id': requestId, 'Server-Seal': `seal-${this.id}-${requestId}` };
    const [model, adapter] = (headers.model ?? '').split('/');
    const held = this.models.get(model);
    if (model !== '' && (held === undefined || (adapter !== undefined && !held.has(adapter)))) {
      response.writeHead(421, { ...common, 'Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    this.record('run', { engine: this.id, request: requestId, tenant: headers.tenant });
    const context = { engine: this, incoming, response, body, requestId, common };
    if (this.answer?.(context) === true) return;
    setTimeout(() => {
      const text = `answer to ${requestId} by ${this.id}`;
      response.writeHead(200, { ...common, 'Content-Length': text.length });
      response.end(text);
    }, this.workMs);
  }
}
