import t from 'tap';
import { computeContentionMs, type Contender } from './index.js';

const one: Contender = { name: 'one', revision: 4, linkMbps: 140 };
const younger: Contender = { name: 'two', revision: 9, linkMbps: 140 };
const weak: Contender = { name: 'three', revision: 12, linkMbps: 7 };
const all = [one, younger, weak];

t.test('lets the younger of two equal hosts go first', (t) => {
  t.ok(computeContentionMs(younger, all, 0.9) < computeContentionMs(one, all, 0.1));
  t.end();
});

t.test(
  'lets a host with a better link go first, also at the start when it is not listed yet',
  (t) => {
    t.ok(computeContentionMs(one, all, 0.9) < computeContentionMs(weak, all, 0));
    t.ok(computeContentionMs(one, [one], 1) < computeContentionMs(weak, [weak], 0));
    t.end();
  },
);

t.test('keeps the wait of a weak host bounded among many', (t) => {
  const many = Array.from({ length: 300 }, (_, index) => ({ ...one, name: `h${index}` }));
  t.ok(computeContentionMs(weak, many, 1) < 2000);
  t.end();
});
