import t from 'tap';
import { ISOLATION_TIMEOUT_MS, isIsolated } from './index.js';

const listedPeers = ['b', 'c', 'd'];
const late = ISOLATION_TIMEOUT_MS + 1;

t.test('stays in touch through the service', (t) => {
  t.notOk(isIsolated({ serviceAtMs: 0, peersAtMs: {}, listedPeers }, ISOLATION_TIMEOUT_MS));
  t.end();
});

t.test('stays in touch through more than half of the hosts', (t) => {
  const contacts = { serviceAtMs: 0, listedPeers };
  t.notOk(isIsolated({ ...contacts, peersAtMs: { b: late, c: late } }, late));
  t.ok(isIsolated({ ...contacts, peersAtMs: { b: late } }, late), 'half is not more than half');
  t.ok(isIsolated({ ...contacts, peersAtMs: { b: 0, c: 0, d: 0 } }, late), 'heard too long ago');
  t.end();
});

t.test('is never cut off where there is no other host', (t) => {
  t.notOk(isIsolated({ serviceAtMs: 0, peersAtMs: {}, listedPeers: [] }, late));
  t.end();
});
