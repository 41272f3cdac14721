import fc from 'fast-check';
import t from 'tap';
import { createFleetTokenBuckets } from '../createFleetTokenBuckets/index.js';
import type { FleetReport } from '../fleetMessages.js';
import { createOrganisationRateLimiter, type OrganisationRateLimiter } from './index.js';

const ROUND_MS = 200;
const depots = { name: 'depots', rate: 10_000, burst: 10_000, defaultTokens: 1 };

function buildReport(host: number, limiter: OrganisationRateLimiter): FleetReport {
  return {
    type: 'report',
    host: `h${host}`,
    incarnation: `h${host}/1`,
    version: 1,
    loads: {},
    shares: {},
    admitted: Object.fromEntries(limiter.getAdmitted()),
    demand: {},
    inUse: [],
    silent: [],
    unreachable: [],
    leaving: [],
    limits: [],
    cold: [],
    paces: {},
    requests: {},
    crashes: [],
    servedParts: [],
  };
}

/**
 * Counts the tokens that hosts admit when each is asked for more than the rate, while the leader
 * exchanges reports and views with them in some rounds only.
 */
function countAdmittedTokens(
  hostCount: number,
  rounds: readonly boolean[],
  tokens: number,
): number {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const limiters = Array.from({ length: hostCount }, () =>
    createOrganisationRateLimiter({ clock }),
  );
  for (const limiter of limiters) limiter.setHostCount(hostCount);
  const buckets = createFleetTokenBuckets({ clock, levels: new Map() });
  buckets.setOrganisations([depots]);
  const reports = new Map<number, FleetReport>();
  let admitted = 0;
  for (const isLeaderReachable of rounds) {
    for (let step = 0; step < ROUND_MS; step += 20) {
      nowMs += 20;
      for (const limiter of limiters)
        if (limiter.charge(depots, tokens).isAdmitted) admitted += tokens;
    }
    if (!isLeaderReachable) continue;
    limiters.forEach((limiter, index) => {
      const report = buildReport(index, limiter);
      buckets.recordAdmissions(report);
      reports.set(index, report);
    });
    limiters.forEach((limiter, index) => {
      const { levels, shares } = buckets.computeLevels(`h${index}`);
      limiter.setFleetLevels({
        levels: new Map(Object.entries(levels)),
        shares: new Map(Object.entries(shares)),
        reportedAdmissions: new Map(Object.entries(reports.get(index)?.admitted ?? {})),
      });
    });
  }
  return admitted;
}

t.test('stays within the rate and burst of the fleet, up to the refill of one round', (t) => {
  const property = fc.property(
    fc.integer({ min: 1, max: 12 }),
    fc.integer({ min: 50, max: 3000 }),
    (hostCount, tokens) => {
      const rounds = Array.from({ length: 40 }, () => true);
      const seconds = (rounds.length * ROUND_MS) / 1000;
      // The hosts may spend the refill of one round before they learn of the admissions of others.
      const unreportedTokens = (depots.rate * ROUND_MS) / 1000;
      const bound = depots.rate * seconds + depots.burst + unreportedTokens + hostCount * tokens;
      return countAdmittedTokens(hostCount, rounds, tokens) <= bound;
    },
  );
  fc.assert(property, { seed: 31, numRuns: 60 });
  t.end();
});

t.test('admits most of the rate without a leader, but not more than the rate', (t) => {
  const rounds = Array.from({ length: 40 }, () => false);
  const total = countAdmittedTokens(7, rounds, 100);
  t.ok(total <= 8 * depots.rate + depots.burst);
  t.ok(total >= 0.8 * 8 * depots.rate);
  t.end();
});

t.test('stays within the rate while the leader becomes reachable and unreachable', (t) => {
  const property = fc.property(
    fc.integer({ min: 2, max: 8 }),
    fc.array(fc.boolean(), { minLength: 40, maxLength: 40 }),
    (hostCount, rounds) => {
      const changes = rounds.filter(
        (isLeaderReachable, index) => isLeaderReachable !== rounds[index - 1],
      ).length;
      const unreportedTokens = ((hostCount + changes) * depots.rate * 1000) / 1000;
      return (
        countAdmittedTokens(hostCount, rounds, 400) <=
        9 * depots.rate + unreportedTokens + hostCount * 400
      );
    },
  );
  fc.assert(property, { seed: 32, numRuns: 60 });
  t.end();
});

t.test('staggers the retry times of rejected callers', (t) => {
  let nowMs = 0;
  const limiter = createOrganisationRateLimiter({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });
  limiter.setHostCount(1);
  nowMs = 5000;
  t.ok(limiter.charge(depots, 10_000).isAdmitted);
  const retryTimesMs = [1, 2, 3].map(() => {
    const result = limiter.charge(depots, 5000);
    return result.isAdmitted ? 0 : Math.round(result.retryAfterMs);
  });
  t.match(retryTimesMs, [500, 1000, 1500]);
  t.end();
});

// Callers would otherwise be told to wait for tokens that a large request has given back.
t.test('a refund takes back the retry times that its charge caused', (t) => {
  let nowMs = 0;
  const limiter = createOrganisationRateLimiter({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });
  limiter.setHostCount(1);
  nowMs = 5000;
  t.ok(limiter.charge(depots, 100_000).isAdmitted);
  t.notOk(limiter.charge(depots, 5000).isAdmitted);
  limiter.refund('depots', 100_000);
  t.ok(limiter.charge(depots, 10_000).isAdmitted);
  const result = limiter.charge(depots, 5000);
  t.ok(!result.isAdmitted && result.retryAfterMs <= 1000, JSON.stringify(result));
  t.end();
});

t.test('does not limit an organisation with a rate of 0', (t) => {
  const limiter = createOrganisationRateLimiter({
    clock: { monotonicMs: () => 0, wallMs: () => 0 },
  });
  t.ok(limiter.charge({ ...depots, rate: 0 }, 1e9).isAdmitted);
  t.end();
});

t.test('needs one report after a fraction of the burst is spent', (t) => {
  let nowMs = 0;
  const limiter = createOrganisationRateLimiter({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });
  limiter.setHostCount(1);
  nowMs = 5000;
  limiter.charge(depots, 400);
  t.notOk(limiter.needsReport(0.05));
  limiter.charge(depots, 400);
  t.ok(limiter.needsReport(0.05));
  limiter.markReported();
  t.notOk(limiter.needsReport(0.05));
  t.end();
});

t.test('limits a host to its share of the burst once the fleet levels are stale', (t) => {
  let nowMs = 0;
  const limiter = createOrganisationRateLimiter({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });
  limiter.setHostCount(5);
  limiter.charge(depots, 0);
  const levels = new Map([['depots', 10_000]]);
  limiter.setFleetLevels({
    levels,
    reportedAdmissions: new Map([['depots', 0]]),
    shares: new Map([['depots', 0.2]]),
  });
  nowMs = 1500;
  let spent = 0;
  while (limiter.charge(depots, 100).isAdmitted) spent += 100;
  t.ok(spent <= 2000, `spent ${spent}`);
  t.end();
});

t.test('hosts isolated at the same time spend no more than the rate before they notice', (t) => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const limiters = Array.from({ length: 8 }, () => createOrganisationRateLimiter({ clock }));
  const fleet = {
    levels: new Map([['depots', 0]]),
    reportedAdmissions: new Map([['depots', 0]]),
    shares: new Map([['depots', 1 / 8]]),
  };
  for (const limiter of limiters) {
    limiter.setHostCount(8);
    limiter.charge(depots, 1);
    limiter.setFleetLevels(fleet);
  }
  let admitted = 0;
  for (nowMs = 20; nowMs <= 1000; nowMs += 20)
    for (const limiter of limiters) if (limiter.charge(depots, 100).isAdmitted) admitted += 100;
  t.ok(admitted <= depots.rate, `${admitted} tokens`);
  t.ok(admitted >= 0.8 * depots.rate);
  t.end();
});
