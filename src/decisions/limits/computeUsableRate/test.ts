import t from 'tap';
import { computeUsableRate } from './index.js';

t.test('a server that takes nothing is asked again now and then', (t) => {
  t.equal(computeUsableRate(0), 0.05);
  t.equal(computeUsableRate(4), 4);
  t.equal(computeUsableRate(4, 0.5), 2);
  t.end();
});
