import t from 'tap';
import { computeChoiceSpread } from './index.js';

t.test('does not randomise the choice of a single host', (t) => {
  t.equal(computeChoiceSpread(1), 0);
  t.equal(computeChoiceSpread(0), 0);
  t.end();
});

t.test('grows with the number of hosts that decide from the same figures', (t) => {
  t.ok(computeChoiceSpread(7) > computeChoiceSpread(2));
  t.ok(computeChoiceSpread(195) > computeChoiceSpread(83));
  t.end();
});
