import fc from 'fast-check';
import t from 'tap';
import { planLoans } from './index.js';

const lender = fc.record({ host: fc.uuid(), units: fc.nat(1000) });

t.test('requests all missing units whenever some lender has any', (t) => {
  const property = fc.property(
    fc.array(lender),
    fc.integer({ min: 1, max: 5000 }),
    (lenders, missing) => {
      const requested = planLoans(missing, lenders).reduce((sum, { units }) => sum + units, 0);
      return lenders.some(({ units }) => units > 0) ? requested >= missing : requested === 0;
    },
  );
  fc.assert(property, { seed: 14 });
  t.end();
});

t.test('draws the fullest buckets down to a common level', (t) => {
  const lenders = [
    { host: 'a', units: 100 },
    { host: 'b', units: 60 },
    { host: 'c', units: 10 },
  ];
  t.strictSame(planLoans(40, lenders), [{ host: 'a', units: 40 }]);
  t.strictSame(planLoans(80, lenders), [
    { host: 'a', units: 60 },
    { host: 'b', units: 20 },
  ]);
  t.end();
});
