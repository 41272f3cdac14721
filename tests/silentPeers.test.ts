import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { openPeerNetwork } from '#dist/adapters/peer/index.js';
import { HostRole } from '#dist/ports/hostList.js';
import type { Heartbeat } from '#dist/ports/peers.js';
import { startSilentProxy } from './support/silentProxy.js';
import { waitUntil } from './support/waitUntil.js';

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };
const HEARTBEAT_MS = 100;
const REPLACED_MS = 4000;

const heartbeat: Heartbeat = {
  type: 'heartbeat',
  host: 'one',
  incarnation: 'one/1',
  bundleVersion: 1,
  withdrawalsDigest: '',
  ledgerRevision: 0,
  levels: {},
  inFlight: {},
  demand: {},
  refused: {},
  slots: 1,
};

async function openPeer(t: Test, host: string, handleHeartbeat: () => void) {
  const network = await openPeerNetwork({
    host,
    incarnation: `${host}/1`,
    address: '127.0.0.1',
    port: 0,
    secret: 'secret',
    log: silentLog,
    handlers: {
      handleHeartbeat,
      grantLoan: ({ id }) => ({ type: 'loanReply', id, units: 0, level: 0 }),
      settleLoan: () => undefined,
      collectControlState: ({ id }) => ({ type: 'factsReply', id, withdrawals: [] }),
      acceptWithdrawals: () => undefined,
    },
  });
  t.teardown(() => network.close());
  return network;
}

// Heartbeats went out for many minutes on a connection on which the peer received none of them.
t.test('a connection to a peer that has gone silent is replaced', async (t) => {
  let received = 0;
  const one = await openPeer(t, 'one', () => undefined);
  const two = await openPeer(t, 'two', () => (received += 1));
  const proxy = await startSilentProxy(t, two.port);
  one.setListedHosts([
    {
      id: 'two',
      role: HostRole.entry,
      address: '127.0.0.1',
      port: proxy.port,
      dataCentre: 'a',
      leaving: false,
    },
  ]);
  const timer = setInterval(() => one.send('two', heartbeat), HEARTBEAT_MS);
  t.teardown(() => clearInterval(timer));
  await waitUntil('heartbeats arrive', () => received > 3);
  await wait(REPLACED_MS);
  t.equal(proxy.countAccepted(), 1, 'a sound connection is kept');
  proxy.silence();
  const before = received;
  await wait(REPLACED_MS);
  t.ok(received > before + 3);
});
