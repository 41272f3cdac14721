import t from 'tap';
import { computeColdLimit } from './index.js';

t.test(
  'a cold server gets less than it tolerates, a warm one and one without a figure all',
  (t) => {
    t.equal(computeColdLimit({ coldMs: 1, perSecond: 10 }), 8);
    t.equal(computeColdLimit({ coldMs: 0, perSecond: 10 }), Infinity);
    t.equal(computeColdLimit({ coldMs: 5000, perSecond: 0 }), Infinity);
    t.end();
  },
);
