import t from 'tap';
import { createFleetTokenBuckets } from './index.js';

const depots = { name: 'depots', rate: 10_000, burst: 10_000, defaultTokens: 1 };
const report = (host: string, tokens: number) => ({
  host,
  incarnation: `${host}/1`,
  admitted: { depots: tokens },
});

t.test('withholds what unreachable hosts refill locally', (t) => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const buckets = createFleetTokenBuckets({ clock, levels: new Map() });
  buckets.setOrganisations([depots]);
  for (const host of ['a', 'b', 'c', 'd']) buckets.recordAdmissions(report(host, 0));
  for (const host of ['a', 'b', 'c', 'd']) buckets.recordAdmissions(report(host, 100));
  nowMs = 400;
  buckets.setUnreachableHosts(['b', 'c', 'd'], 4);
  const before = buckets.computeLevels('a').levels.depots ?? 0;
  nowMs = 800;
  const after = buckets.computeLevels('a').levels.depots ?? 0;
  t.equal(Math.round(after - before), 1000, 'a quarter of the rate');
  t.end();
});

t.test('counts a restarted host from zero and credits refunds', (t) => {
  const clock = { monotonicMs: () => 0, wallMs: () => 0 };
  const buckets = createFleetTokenBuckets({ clock, levels: new Map([['depots', 8000]]) });
  buckets.setOrganisations([depots]);
  buckets.recordAdmissions(report('a', 5000));
  t.equal(buckets.computeLevels('a').levels.depots, 8000, 'spent before this leader started');
  buckets.recordAdmissions(report('a', 6000));
  t.equal(buckets.computeLevels('a').levels.depots, 7000);
  buckets.recordAdmissions(report('a', 5500));
  t.equal(buckets.computeLevels('a').levels.depots, 7500);
  buckets.recordAdmissions({ ...report('a', 300), incarnation: 'a/2' });
  t.equal(buckets.computeLevels('a').levels.depots, 7200);
  t.end();
});

// The other hosts would be given shares above 1, and the host that refunded one below 0.
t.test('a refund of more than the recent admissions leaves no negative share', (t) => {
  const clock = { monotonicMs: () => 0, wallMs: () => 0 };
  const buckets = createFleetTokenBuckets({ clock, levels: new Map([['depots', 8000]]) });
  buckets.setOrganisations([depots]);
  for (const tokens of [0, 100_000, 0]) buckets.recordAdmissions(report('a', tokens));
  for (const tokens of [0, 3000]) buckets.recordAdmissions(report('b', tokens));
  t.equal(buckets.computeLevels('a').shares.depots, 0);
  t.equal(buckets.computeLevels('b').shares.depots, 1);
  t.end();
});

t.test('needs a level update when much was spent since the last one', (t) => {
  const clock = { monotonicMs: () => 0, wallMs: () => 0 };
  const buckets = createFleetTokenBuckets({ clock, levels: new Map([['depots', 8000]]) });
  buckets.setOrganisations([depots]);
  buckets.recordAdmissions(report('a', 0));
  buckets.recordAdmissions(report('a', 300));
  t.notOk(buckets.needsLevelUpdate());
  buckets.recordAdmissions(report('a', 700));
  t.ok(buckets.needsLevelUpdate());
  buckets.markLevelsSent();
  t.notOk(buckets.needsLevelUpdate());
  t.end();
});

t.test('withholds the share that no reporting host claims for a host that never reported', (t) => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const buckets = createFleetTokenBuckets({ clock, levels: new Map() });
  buckets.setOrganisations([depots]);
  buckets.recordAdmissions({ ...report('a', 0), shares: { depots: 0.2 } });
  buckets.setUnreachableHosts(['b'], 2);
  nowMs = 1000;
  // b refills a quarter as its even part and two fifths for its share of 0.8.
  t.equal(Math.round(buckets.computeLevels('a').levels.depots ?? 0), 3500);
  t.end();
});
