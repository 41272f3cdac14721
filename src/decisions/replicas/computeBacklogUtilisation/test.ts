import t from 'tap';
import { computeBacklogUtilisation, findShortestTargetMs } from './index.js';

const shares = [{ service: 'llm', weight: 1 }];
const chat = { shares, latencyTargetMs: 500, pauseTargetMs: 400 };

t.test('finds the shortest target of the service', (t) => {
  t.equal(findShortestTargetMs([{ ...chat, latencyTargetMs: 2000 }, chat], 'llm'), 500);
  t.equal(findShortestTargetMs([{ shares, latencyTargetMs: 500 }], 'llm'), Infinity);
  t.equal(findShortestTargetMs([chat], 'other'), Infinity);
  t.end();
});

t.test('relates the prompts that wait to the target', (t) => {
  t.equal(computeBacklogUtilisation(0, 500), 0);
  t.equal(Math.round(computeBacklogUtilisation(38_700, 500)), 2);
  t.equal(computeBacklogUtilisation(38_700, Infinity), 0);
  t.end();
});
