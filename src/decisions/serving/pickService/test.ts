import fc from 'fast-check';
import t from 'tap';
import { pickService } from './index.js';

t.test('picks in proportion to the weights', (t) => {
  const shares = [
    { service: 'old', weight: 90 },
    { service: 'new', weight: 10 },
  ];
  t.equal(pickService(shares, 0), 'old');
  t.equal(pickService(shares, 0.899), 'old');
  t.equal(pickService(shares, 0.901), 'new');
  t.end();
});

t.test('never picks a service with weight 0', (t) => {
  const share = fc.record({ service: fc.string(), weight: fc.nat(5) });
  const random = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });
  const property = fc.property(fc.array(share, { minLength: 1 }), random, (shares, value) => {
    const picked = pickService(shares, value);
    const hasWeight = shares.some(({ weight }) => weight > 0);
    return !hasWeight || shares.some(({ service, weight }) => service === picked && weight > 0);
  });
  fc.assert(property, { seed: 11 });
  t.end();
});
