import { createServer, type AddressInfo } from 'node:net';
import t from 'tap';
import { resolveUnframedEnd } from './index.js';

const server = createServer();
await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
t.teardown(() => server.close());
const closed = createServer();
await new Promise<void>((resolve) => closed.listen(0, '127.0.0.1', resolve));
const closedPort = (closed.address() as AddressInfo).port;
await new Promise((resolve) => closed.close(resolve));
const full = createServer((socket) => socket.resetAndDestroy());
await new Promise<void>((resolve) => full.listen(0, '127.0.0.1', resolve));
t.teardown(() => full.close());

const livePort = (server.address() as AddressInfo).port;
const fullPort = (full.address() as AddressInfo).port;
const CASES = [
  { name: 'refused', port: closedPort, isOver: false },
  { name: 'accepted', port: livePort, isOver: true },
  { name: 'reset as over the limit', port: fullPort, isOver: true },
  { name: 'another connection is open', port: closedPort, isAnotherOpen: true, isOver: true },
  { name: 'an orderly stop', port: closedPort, mayBeStopping: true, isOver: true },
  {
    name: 'a stop that breaks off another response',
    port: closedPort,
    mayBeStopping: true,
    hasAnotherBroken: true,
    isOver: false,
  },
];

for (const { name, port, isOver, ...known } of CASES)
  t.test(`tells whether an unframed response is over: ${name}`, async (t) => {
    const { isAnotherOpen = false, hasAnotherBroken = false, mayBeStopping = false } = known;
    const end = await resolveUnframedEnd({
      address: '127.0.0.1',
      port,
      isAnotherOpen: () => isAnotherOpen,
      hasAnotherBroken: () => hasAnotherBroken,
      mayBeStopping: () => mayBeStopping,
    });
    t.equal(end.isOver, isOver, end.reason);
  });
