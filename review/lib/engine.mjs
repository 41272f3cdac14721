// A small stand-in of an engine or a plain server, as PROTOCOL.md describes them.
import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';
import { readText, wait } from './common.mjs';

/** Time after which a server that crashed is back. */
const CRASH_MS = 3000;
/** Time after which an idle connection is closed, as the header Keep-Alive tells. */
const IDLE_MS = 30_000;

/** Starts a server that registers itself; `models` holds the adapters of each model it has. */
export async function startEngine(options) {
  const { id, address, store, service, zone = 'lg-ikeja', slots = 64, workMs = 30 } = options;
  const {
    models: held,
    record,
    heartbeatMs = 1200,
    events = 8,
    loadMs = 0,
    onOrder = () => undefined,
    isOrderLate = () => false,
    crashesOn = () => false,
    onCrash = () => undefined,
  } = options;
  const models = held && new Map(Object.entries(held).map(([name, list]) => [name, new Set(list)]));
  let sequence = 0;
  let beats = 0;
  let isBusy = false;
  let isDown = false;
  let born = Date.now();

  const list = () =>
    [...(models ?? [])].map(([name, set]) => ({ name, version: 1, adapters: [...set] }));
  const refuse = (response, status, requestId) =>
    response
      .writeHead(status, {
        'request-id': requestId,
        'instance-id': id,
        'not-executed': '1',
        'content-length': 0,
      })
      .end();

  const loadModel = (model) => {
    isBusy = true;
    const bornBefore = born;
    setTimeout(() => {
      if (born !== bornBefore || isDown) return;
      isBusy = false;
      models.set(model, new Set());
    }, loadMs);
  };

  const executeOrder = ({ op_type: type, model, adapter, expect }) => {
    if (expect !== undefined && expect !== sequence) return 409;
    if (adapter === undefined) {
      if (type === 'load' && models.has(model)) return 200;
      if (type === 'unload' && !models.has(model)) return 200;
      if (isBusy) return 409;
      if (type === 'load') loadModel(model);
      else models.delete(model);
      sequence += 1;
      return 202;
    }
    const adapters = models.get(model);
    if (adapters === undefined) return 400;
    if (type === 'load' ? adapters.has(adapter) : !adapters.has(adapter)) return 200;
    if (type === 'load') adapters.add(adapter);
    else adapters.delete(adapter);
    sequence += 1;
    return type === 'load' ? 202 : 200;
  };

  const serve = async (incoming, response, requestId) => {
    const [model, adapter] = String(incoming.headers.model ?? '').split('/');
    const adapters = models?.get(model);
    if (models !== undefined && (adapters === undefined || (adapter && !adapters.has(adapter))))
      return refuse(response, 421, requestId);
    record?.(`${id} runs ${requestId}`);
    if (crashesOn(incoming.headers)) return crash(requestId);
    const head = { 'request-id': requestId, 'server-seal': `seal-${id}`, 'instance-id': id };
    if (models === undefined) {
      await wait(workMs);
      const body = `body of ${requestId}`;
      return response.writeHead(200, { ...head, 'content-length': body.length }).end(body);
    }
    response.writeHead(200, {
      ...head,
      'content-type': 'text/event-stream',
      'weight-versions': '1',
    });
    const first = Number(incoming.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= events && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${requestId}-${event}\n\n`);
      await wait(workMs);
    }
    return response.end();
  };

  const server = createServer((incoming, response) => {
    readText(incoming)
      .then(async (body) => {
        const expected = incoming.headers['expect-instance'];
        const requestId = incoming.headers['request-id'] ?? '';
        if (expected !== undefined && expected !== id) return refuse(response, 421, requestId);
        if (incoming.url === '/api/order') {
          const order = JSON.parse(body);
          onOrder(id, order);
          if (isOrderLate()) {
            record?.(`${id} leaves an order of ${order.holder} unanswered`);
            await wait(2000 + Math.random() * 10_000);
            const status = executeOrder(order);
            record?.(`${id} carries it out late: ${status}`);
            return undefined;
          }
          const status = executeOrder(order);
          const name =
            order.adapter === undefined ? order.model : `${order.model}/${order.adapter}`;
          record?.(
            `${id} order ${order.op_type} ${name} of ${order.holder}, fence ${order.fence}: ${status}`,
          );
          return response.writeHead(status, { 'content-type': 'application/json' }).end('{}');
        }
        if (incoming.url === '/api/report') {
          const report = {
            stage: 'combined',
            models: list(),
            busy: isBusy,
            sequence,
            queued: 0,
            active: 0,
          };
          return response
            .writeHead(200, { 'content-type': 'application/json' })
            .end(
              JSON.stringify({ ...report, kv_used: 0, kv_total: 200_000, handles: 0, loading: [] }),
            );
        }
        return serve(incoming, response, requestId);
      })
      .catch(() => response.destroy());
  });
  // A request that is complete is read, also if its sender has closed its side by then.
  server.httpAllowHalfOpen = true;
  server.keepAliveTimeout = IDLE_MS;
  const sockets = new Set();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, address, resolve));
  const endpoint = `${address}:${server.address().port}`;
  const register = (state = 'ready') => {
    beats += 1;
    store.put(`servers/${id}`, {
      service,
      address: endpoint,
      zone,
      version: 'v1',
      slots,
      state,
      cold_remaining_ms: 0,
      sequence: beats,
      born,
      ...(models === undefined ? {} : { stage: 'combined', models: list() }),
    });
  };
  register();
  globalThis.setInterval(() => {
    if (!isDown) register();
  }, heartbeatMs);

  /** Ends as a process does, and starts again, empty, under its id. */
  const crash = (requestId) => {
    record?.(`${id} crashes on ${requestId}`);
    isDown = true;
    onCrash(requestId);
    for (const socket of sockets) socket.destroy();
    server.close();
    globalThis.setTimeout(() => {
      models.clear();
      sequence = 0;
      beats = 0;
      isBusy = false;
      isDown = false;
      born = Date.now();
      server.listen(Number(endpoint.split(':')[1]), address, () => {
        record?.(`${id} has started again`);
        register();
      });
    }, CRASH_MS);
  };

  return { id, endpoint };
}
