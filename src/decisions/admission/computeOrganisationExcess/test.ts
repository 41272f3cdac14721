import t from 'tap';
import { computeCommonSurge, computeOrganisationExcess } from './index.js';

t.test('a surge of one organisation is no common one', (t) => {
  const calm = Array.from({ length: 9 }, () => ({ recent: 100, usual: 100 }));
  t.equal(computeCommonSurge([...calm, { recent: 2000, usual: 100 }]), 1);
  t.equal(computeCommonSurge(calm.map(({ usual }) => ({ usual, recent: 160 }))), 1.6);
  t.equal(computeCommonSurge([]), 1);
  t.end();
});

t.test('refuses what one organisation sends above its share, and no more than asked', (t) => {
  const organisations = new Map([
    ['flood', { recent: 1000, allowance: 150 }],
    ['high', { recent: 200, allowance: 150 }],
    ['calm', { recent: 100, allowance: 150 }],
  ]);
  const some = computeOrganisationExcess(organisations, 500);
  t.same([...some.keys()], ['flood']);
  t.ok(Math.abs((some.get('flood') ?? 0) - 500) < 1, 'unused shares of others are lent');
  const all = computeOrganisationExcess(organisations, 5000);
  t.same(Object.fromEntries(all), { flood: 850, high: 50 });
  const returned = new Map([...organisations, ['calm', { recent: 150, allowance: 150 }]]);
  t.notOk(computeOrganisationExcess(returned, 5000).has('calm'), 'and given back at once');
  t.end();
});
