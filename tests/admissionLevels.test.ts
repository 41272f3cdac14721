import t from 'tap';
import { parseFleetMessage } from '#dist/serving/fleetMessages.js';
import { createAdmissionControl } from '#dist/serving/createAdmissionControl/index.js';
import { replayAdmission } from './support/admissionSimulation.js';
import type { AdmissionLoad, AdmissionReplay, Tally } from './support/admissionSimulationTypes.js';

const WEIGHTS = [5, 3, 3, 2, 2, 2, 1, 1, 1, 1].map((weight) => weight / 21);
const FLOOD = 4; // index of the organisation that sends 15 times its usual
const LOAD: AdmissionLoad = {
  seed: 1,
  seconds: 60,
  engines: 6,
  hosts: 20,
  classes: [
    { priority: 0, targetMs: 500, timeoutMs: 6000, weight: 3, meanTokens: 2000 },
    { priority: 1, targetMs: 800, timeoutMs: 10_000, weight: 4, meanTokens: 4000 },
    { priority: 2, targetMs: 3000, timeoutMs: 30_000, weight: 3, meanTokens: 6000 },
  ],
  computeUtilisation: (second) => (second > 10 ? 1.3 : 0.6),
  computeWeights: () => WEIGHTS,
  maximumRefusedShare: 0,
  fairWeight: 0,
};
const WAVES: Partial<AdmissionLoad> = {
  computeUtilisation: (second) => (second % 20 < 10 && second > 10 ? 1.3 : 0.6),
};
const FLOODED: Partial<AdmissionLoad> = {
  computeUtilisation: () => 0.6,
  computeWeights: (second) =>
    second > 20 && second < 45
      ? WEIGHTS.map((weight, index) => (index === FLOOD ? 15 * weight : weight))
      : WEIGHTS,
};

const SEEDS = [1, 2, 3];

/** Replays a load with several seeds and adds up what became of the requests. */
function replaySeeds(change: Partial<AdmissionLoad>): AdmissionReplay[] {
  return SEEDS.map((seed) => replayAdmission({ ...LOAD, ...change, seed }));
}

function addTallies(tallies: readonly (Tally | undefined)[], kind: keyof Tally): number {
  return tallies.reduce((sum, tally) => sum + (tally?.[kind] ?? 0), 0);
}

/** Fraction of the requests of some tallies that ended in one way. */
function computeFraction(tallies: readonly (Tally | undefined)[], kind: keyof Tally): number {
  return addTallies(tallies, kind) / Math.max(1, addTallies(tallies, 'sent'));
}

/** Worth of a load where a late answer is worth 0.3 of one in time. */
function computeWorth(replays: readonly AdmissionReplay[]): number {
  const totals = replays.map(({ total }) => total);
  return computeFraction(totals, 'inTime') + 0.3 * computeFraction(totals, 'late');
}

// Guards against engines that are late for everybody, as refusals by the longest wait of callers leave
// nearly all requests in.
const SHORTAGES: Record<string, Partial<AdmissionLoad>> = {
  'a lasting shortage': {},
  waves: WAVES,
  'twice what the engines process': { computeUtilisation: (second) => (second > 10 ? 2 : 0.6) },
  'a small fleet': { engines: 2, hosts: 5, ...WAVES },
  'one class only': { classes: LOAD.classes.slice(1, 2) },
  'one organisation that floods': FLOODED,
};
for (const [name, change] of Object.entries(SHORTAGES))
  t.test(`serves more in time with admission levels: ${name}`, (t) => {
    const before = replaySeeds(change);
    const after = replaySeeds({ ...change, maximumRefusedShare: 0.9, fairWeight: 1 });
    const totals = after.map(({ total }) => total);
    t.ok(
      computeFraction(totals, 'inTime') >
        computeFraction(
          before.map(({ total }) => total),
          'inTime',
        ),
    );
    t.ok(computeWorth(after) > computeWorth(before), `${computeWorth(after)} of worth`);
    const answered = LOAD.classes.map((_, index) => {
      const tallies = after.map(({ classes }) => classes[index]);
      return computeFraction(tallies, 'inTime') + computeFraction(tallies, 'late');
    });
    const share = computeFraction(totals, 'inTime') + computeFraction(totals, 'late');
    for (const [index, own] of answered.entries()) {
      if (
        addTallies(
          after.map(({ classes }) => classes[index]),
          'sent',
        ) === 0
      )
        continue;
      t.ok(own >= 0.25 * share, `class ${index} keeps a quarter`);
      // A percent of one class is a few dozen requests.
      t.ok(own + 0.02 >= (answered[index + 1] ?? 0), `class ${index} is not behind the next one`);
    }
    const large = after.map((replay) => replay.large);
    t.ok(computeFraction(large, 'inTime') + computeFraction(large, 'late') >= 0.5 * share);
    t.equal(
      after.reduce((sum, { refusedWhileFree }) => sum + refusedWhileFree, 0),
      0,
    );
    t.comment(
      [before, after].map((replays) => ({
        inTime: computeFraction(
          replays.map(({ total }) => total),
          'inTime',
        ).toFixed(3),
        worth: computeWorth(replays).toFixed(3),
        classes: LOAD.classes.map((_, index) =>
          computeFraction(
            replays.map(({ classes }) => classes[index]),
            'inTime',
          ).toFixed(2),
        ),
      })),
    );
    t.end();
  });

// Guards against refusals that bring nobody into time.
t.test('refuses next to nothing while engines keep up', (t) => {
  const calm = replaySeeds({ computeUtilisation: () => 0.8, maximumRefusedShare: 0.9 });
  t.ok(
    computeFraction(
      calm.map(({ total }) => total),
      'refused',
    ) < 0.005,
  );
  t.end();
});

// Guards against callers of calm organisations who pay for one that floods.
t.test('calm organisations are served as before while another one floods', (t) => {
  const listCalm = (replays: readonly AdmissionReplay[]) =>
    replays.flatMap(({ organisations }) => organisations.filter((_, index) => index !== FLOOD));
  const level = { ...FLOODED, maximumRefusedShare: 0.9 };
  const before = computeFraction(listCalm(replaySeeds(level)), 'inTime');
  const fair = replaySeeds({ ...level, fairWeight: 1 });
  const after = computeFraction(listCalm(fair), 'inTime');
  t.ok(after > before + 0.04, `${after} in time, ${before} by class alone`);
  const flood = fair.map(({ organisations }) => organisations[FLOOD]);
  t.ok(computeFraction(flood, 'inTime') > 0.25 * after, 'the other one is not starved');
  t.end();
});

t.test('retry times are honoured, spread, and often find capacity', (t) => {
  const replays = replaySeeds({ ...WAVES, maximumRefusedShare: 0.9 });
  for (const { retryFractions, retries, retriesAdmitted, retryPeak } of replays) {
    t.ok(retryFractions.every((fraction) => fraction < 1 / 3));
    t.ok(retriesAdmitted > 0.4 * retries, `${retriesAdmitted} of ${retries} admitted`);
    t.ok(retryPeak < 0.1 * retries, `${retryPeak} of ${retries} within 100 ms`);
  }
  t.end();
});

// Guards against a wave that is let in whole, or refused for ever, when the leader fails within it.
t.test('the level is kept while a leader fails, and taken over by the next one', (t) => {
  const steady = { maximumRefusedShare: 0.9, seconds: 40 };
  const replay = replayAdmission({ ...LOAD, ...steady, leaderFailsAt: 25 });
  const at = (second: number): number => replay.levels[10 * second] ?? 0;
  t.ok(at(25) > 0.1);
  t.equal(at(26.9), at(25.2), 'kept');
  t.ok(at(27.4) > 0.5 * at(25.2), 'taken over');
  const steadyReplay = replayAdmission({ ...LOAD, ...steady });
  t.ok(
    computeFraction([replay.total], 'inTime') >
      computeFraction([steadyReplay.total], 'inTime') - 0.05,
  );
  t.end();
});

t.test('the level is lowered slowly while a leader of an older version sends none', (t) => {
  const replay = replayAdmission({
    ...LOAD,
    maximumRefusedShare: 0.9,
    olderLeaderFrom: 25,
  });
  const at = (second: number): number => replay.levels[10 * second] ?? 0;
  t.ok(at(25) > 0.1);
  t.ok(at(29) < at(25) && at(29) > 0.3 * at(25));
  t.ok(at(55) < 0.01);
  t.end();
});

t.test('without its setting nothing is reported, kept or refused', (t) => {
  const clock = { monotonicMs: () => 0, wallMs: () => 0 };
  const load = { maximumRefusedShare: 0 };
  const control = createAdmissionControl({ clock, random: () => 0.99, load });
  const request = { service: 'llm', priority: 2, targetMs: 500, organisation: '', tokens: 100 };
  control.recordRequest(request);
  const level = {
    refusedShare: 0.9,
    ageMs: 0,
    classes: [],
    organisations: [],
    largeTokens: 0,
    largeShare: 0,
    capacityInMs: 0,
  };
  control.setLevels({ llm: level });
  t.same(control.takeSamples(), {});
  t.equal(control.decide(request, 5000), undefined);
  t.end();
});

// Guards against a host that drops the messages of a version without the fields, or with odd values.
t.test('messages of older versions are valid, and shares outside 0 to 1 are not', (t) => {
  const view = {
    type: 'view',
    fence: 1,
    version: 1,
    hosts: 1,
    loads: {},
    levels: {},
    shares: {},
    ownLoads: {},
    ownAdmitted: {},
    adapters: {},
    leavingModels: [],
    suspects: [],
    isCurrent: true,
    servers: [],
    removed: [],
  };
  t.match(parseFleetMessage(view), { type: 'view', admission: undefined });
  const level = { refusedShare: 2, ageMs: 0, classes: [], organisations: [] };
  const rest = { largeTokens: 0, largeShare: 0, capacityInMs: 0 };
  t.throws(() => parseFleetMessage({ ...view, admission: { llm: { ...level, ...rest } } }));
  t.end();
});
