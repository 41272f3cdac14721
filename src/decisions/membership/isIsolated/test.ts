import t from 'tap';
import { ISOLATION_TIMEOUT_MS, isIsolated } from './index.js';

const listedPeers = ['b', 'c', 'd'];
const afterTimeoutMs = ISOLATION_TIMEOUT_MS + 1;

t.test('is not isolated while the key-value service responds', (t) => {
  t.notOk(isIsolated({ keyValueServiceAtMs: 0, peersAtMs: {}, listedPeers }, ISOLATION_TIMEOUT_MS));
  t.end();
});

t.test('is not isolated while it hears a majority of the hosts', (t) => {
  const contacts = { keyValueServiceAtMs: 0, listedPeers };
  t.notOk(
    isIsolated(
      { ...contacts, peersAtMs: { b: afterTimeoutMs, c: afterTimeoutMs } },
      afterTimeoutMs,
    ),
  );
  t.ok(
    isIsolated({ ...contacts, peersAtMs: { b: afterTimeoutMs } }, afterTimeoutMs),
    'half is not a majority',
  );
  t.ok(
    isIsolated({ ...contacts, peersAtMs: { b: 0, c: 0, d: 0 } }, afterTimeoutMs),
    'heartbeats are too old',
  );
  t.end();
});

t.test('is never isolated as the only host', (t) => {
  t.notOk(isIsolated({ keyValueServiceAtMs: 0, peersAtMs: {}, listedPeers: [] }, afterTimeoutMs));
  t.end();
});
