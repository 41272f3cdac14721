import t from 'tap';
import { CUT_OFF_AFTER_MS, isCutOff } from './index.js';

const listedPeers = ['b', 'c', 'd'];
const late = CUT_OFF_AFTER_MS + 1;

t.test('stays in touch through the service', (t) => {
  t.notOk(isCutOff({ serviceAtMs: 0, peersAtMs: {}, listedPeers }, CUT_OFF_AFTER_MS));
  t.end();
});

t.test('stays in touch through more than half of the hosts', (t) => {
  const contacts = { serviceAtMs: 0, listedPeers };
  t.notOk(isCutOff({ ...contacts, peersAtMs: { b: late, c: late } }, late));
  t.ok(isCutOff({ ...contacts, peersAtMs: { b: late } }, late), 'half is not more than half');
  t.ok(isCutOff({ ...contacts, peersAtMs: { b: 0, c: 0, d: 0 } }, late), 'heard too long ago');
  t.end();
});

t.test('is never cut off where there is no other host', (t) => {
  t.notOk(isCutOff({ serviceAtMs: 0, peersAtMs: {}, listedPeers: [] }, late));
  t.end();
});
