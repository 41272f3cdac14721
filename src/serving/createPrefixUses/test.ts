import t from 'tap';
import { createPrefixUses } from './index.js';

// Guards against uses that pile up while no leader takes them, and demand that never ends.
t.test('bounds what it keeps, and forgets demand', (t) => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const uses = createPrefixUses({ clock, maximumReported: 3 });
  for (let index = 0; index < 9; index += 1) uses.recordOwn('e1', [7]);
  t.same(uses.takeOwn(), { e1: [7, 7, 7] });
  t.equal(uses.takeOwn(), undefined);
  const early = uses.getRate(7);
  nowMs = 60_000;
  t.ok(uses.getRate(7) < early / 100);
  uses.recordRemote(Array.from({ length: 10_000 }, (_, index) => 100 + index));
  t.equal(uses.getRate(7), 0);
  const silent = createPrefixUses({ clock });
  silent.recordOwn('e1', [7]);
  t.equal(silent.takeOwn(), undefined);
  t.end();
});
