import t from 'tap';
import { applyLevelAge } from './index.js';

const level = {
  refusedShare: 0.6,
  classes: [
    { priority: 0, targetMs: 500, share: 0.8 },
    { priority: 1, targetMs: 500, share: 0.2 },
  ],
  organisations: [{ organisation: 'flood', priority: 0, targetMs: 500, share: 0.2 }],
  largeTokens: 9000,
  largeShare: 0.24,
  capacityInMs: 1000,
};

// Guards against hosts that let a whole wave in, or refuse for ever, once their leader is gone.
t.test('is kept at first, then lowered, and keeps its order', (t) => {
  t.same(applyLevelAge(level, 2500), level);
  const later = applyLevelAge(level, 7000);
  t.ok(Math.abs(later.refusedShare - 0.3) < 1e-9);
  t.ok((later.classes[0]?.share ?? 0) > (later.classes[1]?.share ?? 1));
  t.ok(applyLevelAge(level, 60_000).refusedShare < 0.001);
  t.end();
});
