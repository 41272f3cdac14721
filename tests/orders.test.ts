import t from 'tap';
import { LEASE_MARGIN_MS } from '#dist/decisions/leadership/isLeaseValid/index.js';
import { createModelOrderClient, ORDER_TIMEOUT_MS } from '../platform/modelOrderClient.js';
import { startRawServer } from './support/rawServer.js';

const ORDER = {
  action: 'load' as const,
  model: 'oak',
  expectedCount: 3,
  holder: 'host-1',
  fence: 7,
};
const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
const ACCEPTED = 'HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n';

async function startEngine() {
  let requests = 0;
  const server = await startRawServer((socket) => {
    requests += 1;
    socket.write(ACCEPTED);
  });
  return {
    server,
    address: { id: 'e1', incarnation: 'e1/1', address: '127.0.0.1', port: server.port },
    count: () => requests,
  };
}

t.test(
  'an order is not written if the leadership is lost while its connection opens',
  async (t) => {
    const { server, address, count } = await startEngine();
    t.teardown(server.close);
    let isLeader = true;
    const outcome = createModelOrderClient({ log, nowMs: () => 0 }).send(
      address,
      ORDER,
      () => isLeader,
    );
    isLeader = false;
    t.equal(await outcome, 'notSent');
    t.equal(count(), 0);
  },
);

t.test('an order is written under a confirmed leadership, also on a kept connection', async (t) => {
  const { server, address, count } = await startEngine();
  t.teardown(server.close);
  const client = createModelOrderClient({ log, nowMs: () => 0 });
  t.equal(await client.send(address, ORDER, () => true), 'accepted');
  t.equal(await client.send(address, ORDER, () => true), 'accepted');
  t.equal(await client.send(address, ORDER, () => false), 'notSent');
  t.equal(await client.send(address, ORDER, () => true), 'accepted');
  t.equal(count(), 3);
});

// Until its reset, TCP may deliver an order; another host may lead once the lease has ended.
t.test('an unanswered order is abandoned within the lease under which it was sent', (t) => {
  const timeoutMs: number = ORDER_TIMEOUT_MS;
  t.ok(timeoutMs < LEASE_MARGIN_MS);
  t.end();
});
