import t from 'tap';
import { compareClasses, computeRefusedFractions } from './index.js';

t.test('orders by priority, then by patience', (t) => {
  const classes = [
    { priority: 1, targetMs: 500 },
    { priority: 0, targetMs: 2000 },
    { priority: 0, targetMs: 500 },
  ];
  t.same(
    [...classes].sort(compareClasses).map(({ priority, targetMs }) => [priority, targetMs]),
    [
      [0, 500],
      [0, 2000],
      [1, 500],
    ],
  );
  t.end();
});

// Guards against classes without any admission, and against refusals of urgent ones before others.
t.test('refuses the last class first and leaves each its part', (t) => {
  const classes = [100, 100, 100].map((work) => ({ work, excess: 0 }));
  const keptShare = 0.2;
  t.same(computeRefusedFractions(classes, { refusedWork: 50, keptShare }), [0, 0, 0.5]);
  const [urgent = 1, other = 0, last = 0] = computeRefusedFractions(classes, {
    refusedWork: 120,
    keptShare,
  });
  t.equal(urgent, 0);
  t.ok(Math.abs(other - 0.4) < 1e-9 && Math.abs(last - 0.8) < 1e-9);
  t.end();
});

// Guards against an urgent class that is served less than a later one, as one organisation floods it.
t.test('an excess in an urgent class is shared with later classes', (t) => {
  const classes = [
    { work: 300, excess: 200 },
    { work: 100, excess: 0 },
  ];
  const [urgent = 1, last = 0] = computeRefusedFractions(classes, {
    refusedWork: 200,
    keptShare: 0.1,
  });
  t.ok(urgent <= last);
  t.ok(Math.abs(300 * urgent + 100 * last - 200) < 1e-6, 'the total stays the same');
  t.end();
});
