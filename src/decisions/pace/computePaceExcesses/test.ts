import t from 'tap';
import type { PaceSample } from '../types.js';
import { computePaceExcesses } from './index.js';

const sample = (slowStreams: number, ratio = 1, streams = 20): PaceSample => ({
  streams,
  slowStreams,
  measuredMs: 10_000 * ratio,
  estimatedMs: 10_000,
});
const toMap = (samples: readonly PaceSample[]) =>
  new Map(samples.map((item, index) => [`e${index}`, item]));

// Guards against plans and choices that follow the load where every engine pauses for too long.
t.test('equally slow servers have no excess', (t) => {
  t.equal(computePaceExcesses(toMap([19, 18, 20, 19, 17].map((n) => sample(n, 3)))).size, 0);
  t.equal(computePaceExcesses(toMap([8, 12, 10, 9, 11].map((n) => sample(n)))).size, 0);
  t.end();
});

t.test('a slower server has the difference to the median', (t) => {
  const excesses = computePaceExcesses(
    toMap([sample(1), sample(2), sample(1), sample(14, 2.2), sample(1)]),
  );
  t.same([...excesses.keys()], ['e3']);
  const { slowShare = 0, latencyRatio = 0 } = excesses.get('e3') ?? {};
  t.ok(slowShare > 0.4 && slowShare < 0.7);
  t.ok(latencyRatio > 2 && latencyRatio < 2.3);
  t.end();
});

// Guards against an engine that is avoided for the one stream that it has answered.
t.test('a single slow stream is no excess, and two servers have no median', (t) => {
  t.equal(computePaceExcesses(toMap([sample(0), sample(0), sample(1, 1, 1)])).size, 0);
  t.equal(computePaceExcesses(toMap([sample(0), sample(18, 3)])).size, 0);
  t.end();
});
