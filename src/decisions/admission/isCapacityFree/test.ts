import t from 'tap';
import { isCapacityFree } from './index.js';

const engine = {
  id: 'e0',
  active: 3,
  slots: 8,
  backlogTokens: 1000,
  urgentBacklogTokens: 0,
  reservedTokens: 0,
  memoryTokens: 100_000,
  cachedTokens: 0,
  holdsAdapter: true,
  isInLocalDataCentre: true,
  failureRate: 0,
  serviceTimeMs: 500,
  latencyRatio: 1,
  waitMs: 0,
};

// Guards against refusals of requests that idle engines would serve in time.
t.test('capacity is free while nobody waits and slots and memory are left', (t) => {
  t.ok(isCapacityFree([engine, engine]));
  t.notOk(isCapacityFree([{ ...engine, active: 4 }]));
  t.notOk(isCapacityFree([{ ...engine, backlogTokens: 9000 }]));
  t.notOk(isCapacityFree([{ ...engine, reservedTokens: 95_000 }]));
  t.notOk(isCapacityFree([{ ...engine, coldMs: 500 }]));
  t.end();
});
