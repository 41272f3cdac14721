import t from 'tap';
import { computeElectionDelayMs, type ElectionCandidate } from './index.js';

const one: ElectionCandidate = { name: 'one', revision: 4, linkMbps: 140 };
const younger: ElectionCandidate = { name: 'two', revision: 9, linkMbps: 140 };
const weak: ElectionCandidate = { name: 'three', revision: 12, linkMbps: 7 };
const all = [one, younger, weak];

t.test('lets the younger of two equal hosts go first', (t) => {
  t.ok(computeElectionDelayMs(younger, all, 0.9) < computeElectionDelayMs(one, all, 0.1));
  t.end();
});

t.test(
  'lets a host with a better link go first, also at the start when it is not listed yet',
  (t) => {
    t.ok(computeElectionDelayMs(one, all, 0.9) < computeElectionDelayMs(weak, all, 0));
    t.ok(computeElectionDelayMs(one, [one], 1) < computeElectionDelayMs(weak, [weak], 0));
    t.end();
  },
);

t.test('keeps the wait of a weak host bounded among many', (t) => {
  const many = Array.from({ length: 300 }, (_, index) => ({ ...one, name: `h${index}` }));
  t.ok(computeElectionDelayMs(weak, many, 1) < 2000);
  t.end();
});
