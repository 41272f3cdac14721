import { connect, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import { startHostProcess } from './support/hostProcess.js';
import { EngineBehaviour, startPlatformEngine } from './support/platformEngine.js';
import { API_KEY, buildConfiguration, sendToPort } from './support/platformFleet.js';
import { startPlatformStore } from './support/platformStore.js';

const PAUSE_MS = 1000;
const CALLERS = 20;

/** Sends a request on a connection of its own; returns the connection. */
async function openRequest(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  await new Promise((resolve) => socket.once('connect', resolve));
  const lines = [
    'POST /lookup/1 HTTP/1.1',
    'Host: depots.example',
    `Authorization: Bearer ${API_KEY}`,
    'Request-Id: departed',
    'Deadline-Ms: 3000',
    'Content-Length: 0',
  ];
  await new Promise((resolve) => socket.write(`${lines.join('\r\n')}\r\n\r\n`, resolve));
  return socket;
}

const openRequests = (port: number): Promise<Socket[]> =>
  Promise.all(Array.from({ length: CALLERS }, () => openRequest(port)));

/** Starts a host in a process and the only server of a service, which has served a request. */
async function startHostAndServer(t: Test) {
  const store = await startPlatformStore();
  store.put('op/config', buildConfiguration(1));
  const server = await startPlatformEngine({ id: 's-1', service: 'certs', serviceTimeMs: 20 });
  store.put('servers/s-1', server.buildRegistration());
  const { process: host, callerPort } = await startHostProcess(store, 'host-1');
  t.teardown(async () => {
    host.kill('SIGKILL');
    await host.exited;
    await server.close();
    await store.close();
  });
  t.equal((await sendToPort(callerPort, '/lookup/1')).status, 200);
  return { host, server, callerPort };
}

// A host that was behind reads a request and the end of its connection at once. Before, it had sent the
// request to a server by the time it saw the end.
t.test('a host that was paused sends nothing for callers that left meanwhile', async (t) => {
  const { host, server, callerPort } = await startHostAndServer(t);
  const before = server.receivedRequests.length;
  host.kill('SIGSTOP');
  for (const socket of await openRequests(callerPort)) socket.destroy();
  await wait(PAUSE_MS);
  host.kill('SIGCONT');
  await wait(PAUSE_MS);
  t.equal(server.receivedRequests.length, before);
  t.equal((await sendToPort(callerPort, '/lookup/1')).status, 200);
});

// Timers run before the input is read: a wait that has ended meanwhile went on to the server.
t.test('a host that was paused sends no request that waited, if its caller left', async (t) => {
  const { host, server, callerPort } = await startHostAndServer(t);
  server.setExtraHeaders({ 'retry-after': '0.8' });
  server.setBehaviour(() => EngineBehaviour.shed);
  await sendToPort(callerPort, '/lookup/1');
  server.setExtraHeaders({});
  server.setBehaviour(() => EngineBehaviour.serve);
  const before = server.receivedRequests.length;
  const sockets = await openRequests(callerPort);
  await wait(200);
  t.equal(
    server.receivedRequests.length,
    before,
    'they wait until the server wants requests again',
  );
  host.kill('SIGSTOP');
  for (const socket of sockets) socket.destroy();
  await wait(PAUSE_MS);
  host.kill('SIGCONT');
  await wait(PAUSE_MS);
  t.equal(server.receivedRequests.length, before);
  t.equal((await sendToPort(callerPort, '/lookup/1')).status, 200);
});
