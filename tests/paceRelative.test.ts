import t from 'tap';
import { computePaceExcesses } from '#dist/decisions/pace/computePaceExcesses/index.js';
import { computeServerPace } from '#dist/decisions/pace/computeServerPace/index.js';
import type { PaceSample, ServerPace } from '#dist/decisions/pace/types.js';
import { createServerPaces } from '#dist/serving/createServerPaces/index.js';
import { applyPaces } from '#dist/serving/paceMessages.js';
import { replayEngines, type ReplayResult } from './support/replayEngines.js';

const SEEDS = [1, 2, 3, 4];
const UNEQUAL = [0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];
const SLOW = UNEQUAL.map(() => 0.55);

type Rule = (samples: ReadonlyMap<string, PaceSample>) => ReadonlyMap<string, ServerPace>;
const withoutPaces: Rule = () => new Map();
const absolutePaces: Rule = (samples) =>
  new Map([...samples].map(([id, sample]) => [id, computeServerPace(sample)]));

const replay = (speeds: readonly number[], computePaces: Rule, load: number): ReplayResult[] =>
  SEEDS.map((seed) =>
    replayEngines({
      seed,
      speeds,
      streamsPerSecond: 60 * load,
      promptsPerSecond: 20 * load,
      computePaces,
    }),
  );
const measureLate = (results: readonly ReplayResult[]): number =>
  results.reduce((sum, { lateStreams, streams }) => sum + lateStreams / streams, 0) /
  results.length;

// Guards against short streams that pause on the slow engines beside long prompts.
t.test('serves more short streams on time where a quarter of the engines is slow', (t) => {
  const before = measureLate(replay(UNEQUAL, withoutPaces, 0.6));
  const after = measureLate(replay(UNEQUAL, computePaceExcesses, 0.6));
  t.ok(before > 0.05, `${before} late without paces`);
  t.ok(after < 0.25 * before, `${after} late with relative paces, ${before} without`);
  t.end();
});

// Guards against slow engines that are left idle while the first events on the others become late.
t.test('serves no fewer streams on time close to the capacity of the engines', (t) => {
  const before = measureLate(replay(UNEQUAL, withoutPaces, 0.7));
  const after = measureLate(replay(UNEQUAL, computePaceExcesses, 0.7));
  t.ok(after <= before, `${after} late with relative paces, ${before} without`);
  t.end();
});

// Guards against engines that are avoided for working at all: on these, nearly all streams pause.
t.test('changes nothing where all engines are equally slow', (t) => {
  for (const load of [0.2, 0.25, 0.3]) {
    const before = measureLate(replay(SLOW, withoutPaces, load));
    const after = measureLate(replay(SLOW, computePaceExcesses, load));
    t.ok(Math.abs(after - before) < 0.05, `${after} late with relative paces, ${before} without`);
    const withAbsolute = measureLate(replay(SLOW, absolutePaces, load));
    t.ok(withAbsolute > before + 0.05, `${withAbsolute} late with absolute paces`);
  }
  t.end();
});

// Guards against absolute paces of a leader of an older version that count as relative ones.
t.test('no engine counts as slower with the paces of an older version', (t) => {
  const paces = createServerPaces({ weight: 1 });
  applyPaces({ paces: { a: [0.9, 3] }, paceExcesses: { a: [0.5, 2] } }, paces);
  t.equal(paces.getSlowShare('a'), 0.5);
  applyPaces({}, paces);
  t.equal(paces.getLatencyRatio('a', 1, 0), 2, 'a view without paces keeps the last ones');
  applyPaces({ paces: { a: [0.9, 3] } }, paces);
  t.equal(paces.getSlowShare('a'), 0);
  t.equal(paces.getLatencyRatio('a', 1, 0), 1);
  t.end();
});

// Guards against reports and views that carry paces in deployments that do not use them.
t.test('without a weight nothing is measured', (t) => {
  for (const [weight, samples] of [
    [0, 0],
    [1, 1],
  ] as const) {
    const paces = createServerPaces({ weight });
    paces.recordStream('e1', true);
    paces.recordFirstByteDelay('e1', 300, 100);
    t.equal(paces.takeSamples().size, samples);
  }
  t.end();
});
