import t from 'tap';
import { chooseConnectionToClose } from './index.js';

const connection = (idleSinceMs: number, requestCount: number, activeRequests = 0) => ({
  idleSinceMs,
  requestCount,
  activeRequests,
});

t.test('closes the oldest without a request, then the longest idle, none with a request', (t) => {
  const unused = connection(500, 0);
  const olderUnused = connection(300, 0);
  const idle = connection(100, 5);
  const busy = connection(0, 1, 1);
  t.equal(chooseConnectionToClose([busy, idle, unused, olderUnused]), olderUnused);
  t.equal(chooseConnectionToClose([busy, idle]), idle);
  t.equal(chooseConnectionToClose([busy]), undefined);
  t.end();
});
