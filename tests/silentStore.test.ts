import { createServer } from 'node:http';
import t from 'tap';
import { createStoreClient } from '../platform/store.js';
import { startSilentProxy } from './support/silentProxy.js';

const CONNECTIONS = 6; // those of the client of one host

// Each kept connection that has gone silent cost a call its time-out, and the leader its lease.
t.test('one call to the store at most meets a connection that has gone silent', async (t) => {
  const store = createServer((_, response) => {
    setTimeout(() => response.end('{"lease":1,"ttl_ms":1000}'), 20);
  });
  await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    store.closeAllConnections();
    store.close();
  });
  const address = store.address();
  if (address === null || typeof address === 'string') throw new Error('the store has no port');
  const proxy = await startSilentProxy(t, address.port);
  const answers: boolean[] = [];
  const client = createStoreClient({
    endpoint: `127.0.0.1:${proxy.port}`,
    timeoutMs: 200,
    onCall: (_, isAnswered) => answers.push(isAnswered),
  });
  t.teardown(() => client.close());
  const call = () => client.grantLease(1000).catch(() => undefined);
  await Promise.all(Array.from({ length: CONNECTIONS }, call));
  t.equal(proxy.countAccepted(), CONNECTIONS, 'all connections are in use');
  proxy.silence();
  answers.length = 0;
  for (let count = 0; count < 20; count += 1) await call();
  t.same(answers, [false, ...new Array<boolean>(19).fill(true)]);
  t.ok(proxy.countAccepted() <= 2 * CONNECTIONS, 'and the new ones are kept');
});
