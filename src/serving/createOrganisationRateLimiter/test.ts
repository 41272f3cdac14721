import fc from 'fast-check';
import t from 'tap';
import { createFleetTokenBuckets } from '../createFleetTokenBuckets/index.js';
import type { FleetReport } from '../fleetMessages.js';
import { createOrganisationRateLimiter, type OrganisationRateLimiter } from './index.js';

const ROUND_MS = 200;
const depots = { name: 'depots', rate: 10_000, burst: 10_000, defaultTokens: 1 };

function buildReport(host: number, rates: OrganisationRateLimiter): FleetReport {
  return {
    type: 'report',
    host: `h${host}`,
    incarnation: `h${host}/1`,
    version: 1,
    loads: {},
    shares: {},
    admitted: Object.fromEntries(rates.getAdmitted()),
    demand: {},
    inUse: [],
    silent: [],
  };
}

/** Hosts that all ask more than the rate, with the holder of the command heard in some rounds only. */
function runHosts(hostCount: number, rounds: readonly boolean[], tokens: number): number {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const hosts = Array.from({ length: hostCount }, () => createOrganisationRateLimiter({ clock }));
  for (const rates of hosts) rates.setHostCount(hostCount);
  const buckets = createFleetTokenBuckets({ clock, levels: new Map() });
  buckets.setOrganisations([depots]);
  const reports = new Map<number, FleetReport>();
  let admitted = 0;
  for (const isHeard of rounds) {
    for (let step = 0; step < ROUND_MS; step += 20) {
      nowMs += 20;
      for (const rates of hosts) if (rates.charge(depots, tokens).isAdmitted) admitted += tokens;
    }
    if (!isHeard) continue;
    hosts.forEach((rates, index) => {
      const report = buildReport(index, rates);
      buckets.recordAdmissions(report);
      reports.set(index, report);
    });
    hosts.forEach((rates, index) => {
      const { levels, shares } = buckets.computeLevels(`h${index}`);
      rates.setFleetLevels({
        levels: new Map(Object.entries(levels)),
        shares: new Map(Object.entries(shares)),
        reportedAdmissions: new Map(Object.entries(reports.get(index)?.admitted ?? {})),
      });
    });
  }
  return admitted;
}

t.test('admits within the rate and burst of the fleet, up to one round of the figures', (t) => {
  const property = fc.property(
    fc.integer({ min: 1, max: 12 }),
    fc.integer({ min: 50, max: 3000 }),
    (hostCount, tokens) => {
      const rounds = Array.from({ length: 40 }, () => true);
      const seconds = (rounds.length * ROUND_MS) / 1000;
      // Together hosts may spend the refill of a round before they hear of each other.
      const lag = (depots.rate * ROUND_MS) / 1000;
      const bound = depots.rate * seconds + depots.burst + lag + hostCount * tokens;
      return runHosts(hostCount, rounds, tokens) <= bound;
    },
  );
  fc.assert(property, { seed: 31, numRuns: 60 });
  t.end();
});

t.test('admits within the rate while nobody leads, and most of it', (t) => {
  const rounds = Array.from({ length: 40 }, () => false);
  const total = runHosts(7, rounds, 100);
  t.ok(total <= 8 * depots.rate + depots.burst);
  t.ok(total >= 0.8 * 8 * depots.rate);
  t.end();
});

t.test('admits within the rate through changes between both', (t) => {
  const property = fc.property(
    fc.integer({ min: 2, max: 8 }),
    fc.array(fc.boolean(), { minLength: 40, maxLength: 40 }),
    (hostCount, rounds) => {
      const changes = rounds.filter((isHeard, index) => isHeard !== rounds[index - 1]).length;
      const lag = ((hostCount + changes) * depots.rate * 1000) / 1000;
      return runHosts(hostCount, rounds, 400) <= 9 * depots.rate + lag + hostCount * 400;
    },
  );
  fc.assert(property, { seed: 32, numRuns: 60 });
  t.end();
});

t.test('tells callers to come back one after the other', (t) => {
  let nowMs = 0;
  const rates = createOrganisationRateLimiter({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });
  rates.setHostCount(1);
  nowMs = 5000;
  t.ok(rates.charge(depots, 10_000).isAdmitted);
  const waits = [1, 2, 3].map(() => {
    const result = rates.charge(depots, 5000);
    return result.isAdmitted ? 0 : Math.round(result.retryAfterMs);
  });
  t.match(waits, [500, 1000, 1500]);
  t.end();
});

t.test('lets an organisation without a rate pass', (t) => {
  const rates = createOrganisationRateLimiter({ clock: { monotonicMs: () => 0, wallMs: () => 0 } });
  t.ok(rates.charge({ ...depots, rate: 0 }, 1e9).isAdmitted);
  t.end();
});

t.test('says that the fleet must hear of a rush, once', (t) => {
  let nowMs = 0;
  const rates = createOrganisationRateLimiter({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });
  rates.setHostCount(1);
  nowMs = 5000;
  rates.charge(depots, 400);
  t.notOk(rates.needsReport(0.05));
  rates.charge(depots, 400);
  t.ok(rates.needsReport(0.05));
  rates.markReported();
  t.notOk(rates.needsReport(0.05));
  t.end();
});

t.test('keeps only its part of the burst once the fleet is not heard', (t) => {
  let nowMs = 0;
  const rates = createOrganisationRateLimiter({
    clock: { monotonicMs: () => nowMs, wallMs: () => 0 },
  });
  rates.setHostCount(5);
  rates.charge(depots, 0);
  const levels = new Map([['depots', 10_000]]);
  rates.setFleetLevels({
    levels,
    reportedAdmissions: new Map([['depots', 0]]),
    shares: new Map([['depots', 0.2]]),
  });
  nowMs = 1500;
  let spent = 0;
  while (rates.charge(depots, 100).isAdmitted) spent += 100;
  t.ok(spent <= 2000, `spent ${spent}`);
  t.end();
});

t.test('hosts that are cut off all at once spend no more than the rate before they notice', (t) => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const hosts = Array.from({ length: 8 }, () => createOrganisationRateLimiter({ clock }));
  const fleet = {
    levels: new Map([['depots', 0]]),
    reportedAdmissions: new Map([['depots', 0]]),
    shares: new Map([['depots', 1 / 8]]),
  };
  for (const rates of hosts) {
    rates.setHostCount(8);
    rates.charge(depots, 1);
    rates.setFleetLevels(fleet);
  }
  let admitted = 0;
  for (nowMs = 20; nowMs <= 1000; nowMs += 20)
    for (const rates of hosts) if (rates.charge(depots, 100).isAdmitted) admitted += 100;
  t.ok(admitted <= depots.rate, `${admitted} tokens`);
  t.ok(admitted >= 0.8 * depots.rate);
  t.end();
});
