import t from 'tap';
import { createCacheState, updateCacheState } from './index.js';

const busy = { backlogTokens: 5000, latencyRatio: 1 };
const idle = { backlogTokens: 0, latencyRatio: 1 };

// Guards against estimates that age on idle engines, or not at all without views.
t.test('counts what a busy engine processes, and an engine unheard of as busy', (t) => {
  const state = createCacheState(1000);
  t.equal(updateCacheState(state, busy, 1200).processedTokens, 200 * 38.7);
  t.equal(updateCacheState(state, { ...busy, latencyRatio: 2 }, 1200).processedTokens, 100 * 38.7);
  t.equal(updateCacheState(state, idle, 1200).processedTokens, 0);
  t.equal(updateCacheState(state, idle, 4000).processedTokens, 3000 * 38.7);
  t.equal(updateCacheState(state, busy, 900).processedTokens, 0);
  t.end();
});
