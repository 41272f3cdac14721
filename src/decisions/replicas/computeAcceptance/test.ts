import t from 'tap';
import { computeAcceptance } from './index.js';

t.test('an engine takes the part of the load of a busy engine that its limit allows', (t) => {
  const load = { requestRate: 40, engineCount: 12 };
  t.equal(computeAcceptance({ limit: 2, ...load }), 0.2);
  t.equal(computeAcceptance({ limit: 0, ...load }), 0);
  t.equal(computeAcceptance({ limit: 50, ...load }), 1, 'a limit that does not matter');
  t.equal(computeAcceptance({ limit: Infinity, ...load }), 1);
  t.equal(computeAcceptance({ limit: 2, requestRate: 0, engineCount: 0 }), 1);
  t.end();
});

t.test('an engine whose streams pause for too long counts as far as they are on time', (t) => {
  const load = { limit: Infinity, requestRate: 40, engineCount: 12 };
  t.equal(computeAcceptance({ ...load, slowShare: 0.25 }), 0.75);
  t.equal(computeAcceptance({ ...load, slowShare: 1 }), 0.3);
  t.end();
});
