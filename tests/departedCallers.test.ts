import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import t from 'tap';
import { startHostProcess } from './support/hostProcess.js';
import { startPlatformEngine } from './support/platformEngine.js';
import { API_KEY, buildConfiguration, sendToPort } from './support/platformFleet.js';
import { startPlatformStore } from './support/platformStore.js';

const PAUSE_MS = 1000;
const CALLERS = 20;

/** Sends a request on a connection of its own, and leaves without waiting for the answer. */
async function sendAndLeave(port: number): Promise<void> {
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
  socket.destroy();
}

// A host that was behind reads a request and the end of its connection at once. Before, it had sent the
// request to a server by the time it saw the end.
t.test('a host that was paused sends nothing for callers that left meanwhile', async (t) => {
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
  const before = server.receivedRequests.length;
  host.kill('SIGSTOP');
  await Promise.all(Array.from({ length: CALLERS }, () => sendAndLeave(callerPort)));
  await wait(PAUSE_MS);
  host.kill('SIGCONT');
  await wait(PAUSE_MS);
  t.equal(server.receivedRequests.length, before);
  t.equal((await sendToPort(callerPort, '/lookup/1')).status, 200);
});
