import t from 'tap';
import type { RankedServer } from '../types.js';
import { findSkippedCold } from './index.js';

const buildRanked = (id: string, scoreMs: number, coldMs = 0, waitMs = 0): RankedServer => ({
  candidate: {
    ...{ id, active: 0, slots: 8, backlogTokens: 0, urgentBacklogTokens: 0, coldMs, waitMs },
    ...{ reservedTokens: 0, memoryTokens: 0, cachedTokens: 0, holdsAdapter: true },
    ...{ isInLocalDataCentre: true, failureRate: 0, serviceTimeMs: 500, latencyRatio: 1 },
  },
  ...{ delayMs: scoreMs, scoreMs, uncachedTokens: 0 },
});

t.test('names the server that was skipped for being cold, and no other', (t) => {
  const chosen = buildRanked('warm', 300);
  const cold = buildRanked('cold', 450, 9000);
  t.equal(findSkippedCold([chosen, cold], chosen), cold);
  t.equal(findSkippedCold([chosen, buildRanked('full', 800, 9000)], chosen), undefined);
  t.equal(findSkippedCold([chosen, buildRanked('paused', 450, 0, 400)], chosen), undefined);
  t.equal(findSkippedCold([cold], cold), undefined, 'the chosen one is cold');
  t.end();
});
