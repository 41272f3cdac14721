import t from 'tap';
import fc from 'fast-check';
import { computeAdmissionShares } from './index.js';

const demandOf = fc.array(
  fc.record({
    priority: fc.integer({ min: 0, max: 3 }),
    targetMs: fc.constantFrom(500, 2000),
    organisation: fc.constantFrom('a', 'b', 'c', 'd'),
    requests: fc.integer({ min: 1, max: 500 }),
    largeRequests: fc.integer({ min: 0, max: 1 }),
    work: fc.integer({ min: 1, max: 1_000_000 }),
  }),
  { maxLength: 24 },
);

// Guards against starved classes and organisations, and against classes out of order, in any mix.
t.test('keeps the order of classes and a part for each', (t) => {
  fc.assert(
    fc.property(
      demandOf,
      fc.double({ min: 0, max: 0.95, noNaN: true }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      (demand, refusedShare, fairWeight) => {
        const organisations = new Map(
          ['a', 'b', 'c'].map((name, index) => [
            name,
            {
              recent: demand
                .filter(({ organisation }) => organisation === name)
                .reduce((sum, { work }) => sum + work, 0),
              allowance: 1000 * 10 ** index,
            },
          ]),
        );
        const shares = computeAdmissionShares(demand, {
          refusedShare,
          organisations,
          fairWeight,
        });
        const least = 0.25 * (1 - refusedShare);
        const listed = shares.classes.map(({ share }) => share);
        return (
          listed.every((share, index) => share >= (listed[index + 1] ?? 0) - 1e-9) &&
          [...shares.classes, ...shares.organisations].every(
            ({ share }) => share >= least && share <= 1 + 1e-9,
          ) &&
          shares.largeShare >= 0.5 * (1 - refusedShare)
        );
      },
    ),
    { seed: 39, numRuns: 500 },
  );
  t.end();
});

t.test('refuses an organisation above its share before others of its class', (t) => {
  const item = { priority: 1, targetMs: 800, requests: 10, largeRequests: 1 };
  const demand = [
    { ...item, organisation: 'flood', work: 900 },
    { ...item, organisation: 'calm', work: 100 },
  ];
  const organisations = new Map([
    ['flood', { recent: 900, allowance: 150 }],
    ['calm', { recent: 100, allowance: 150 }],
  ]);
  const options = { refusedShare: 0.5, organisations };
  const fair = computeAdmissionShares(demand, { ...options, fairWeight: 1 });
  t.match(fair.classes, [{ share: 1 }]);
  t.ok(Math.abs((fair.organisations[0]?.share ?? 0) - 4 / 9) < 1e-6);
  const before = computeAdmissionShares(demand, { ...options, fairWeight: 0 });
  t.match(before, { classes: [{ share: 0.5 }], organisations: [] });
  t.end();
});
