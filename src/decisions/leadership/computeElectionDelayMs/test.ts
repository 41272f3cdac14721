import t from 'tap';
import { computeElectionDelayMs, type ElectionCandidate } from './index.js';

const older: ElectionCandidate = { name: 'one', revision: 4, linkMbps: 140 };
const newer: ElectionCandidate = { name: 'two', revision: 9, linkMbps: 140 };
const slowLink: ElectionCandidate = { name: 'three', revision: 12, linkMbps: 7 };
const all = [older, newer, slowLink];

t.test('lets the host that started last go first when links are equal', (t) => {
  t.ok(computeElectionDelayMs(newer, all, 0.9) < computeElectionDelayMs(older, all, 0.1));
  t.end();
});

t.test('lets a host with a faster link go first, even if hosts do not know each other', (t) => {
  t.ok(computeElectionDelayMs(older, all, 0.9) < computeElectionDelayMs(slowLink, all, 0));
  t.ok(computeElectionDelayMs(older, [older], 1) < computeElectionDelayMs(slowLink, [slowLink], 0));
  t.end();
});

t.test('bounds the delay of a host with a slow link among 300 hosts', (t) => {
  const many = Array.from({ length: 300 }, (_, index) => ({ ...older, name: `h${index}` }));
  t.ok(computeElectionDelayMs(slowLink, many, 1) < 2000);
  t.end();
});
