import t from 'tap';
import { rankServers } from '../rankServers/index.js';
import type { ServerCandidate } from '../types.js';
import { computeColdDelayMs, MAX_SHIFT_MS } from './index.js';

const HOSTS = 60;
const buildCandidate = (id: string, active: number, coldMs: number): ServerCandidate => ({
  ...{ id, active, slots: 64, backlogTokens: 100 * active, urgentBacklogTokens: 0, coldMs },
  ...{ reservedTokens: 0, memoryTokens: 232_000, cachedTokens: 0, holdsAdapter: true },
  ...{ isInLocalDataCentre: true, failureRate: 0, serviceTimeMs: 500, latencyRatio: 1, waitMs: 0 },
});
const REQUEST = { affinityKey: '', sharedParts: [], sharedTokens: 0, unsharedTokens: 900 };

/** Counts the hosts that choose an empty server at a moment relative to the end of its cold time. */
function countReturned(sinceMs: number, shiftMs: number): number {
  return Array.from({ length: HOSTS }, (_, host) => (shiftMs * host) / HOSTS).filter((shift) => {
    const cold = buildCandidate('cold', 0, Math.max(0, shift - sinceMs));
    const others = ['a', 'b', 'c'].map((id) => buildCandidate(id, 10, 0));
    const ranked = rankServers([...others, cold], { ...REQUEST, isUrgent: false }, () => 0.5);
    return ranked[0]?.candidate.id === 'cold';
  }).length;
}

t.test('hosts return to a server that has turned warm one by one', (t) => {
  t.equal(countReturned(0, 0), HOSTS, 'all at once by the previous rule');
  const shares = [-500, 0, 400, 800, MAX_SHIFT_MS].map((atMs) => countReturned(atMs, MAX_SHIFT_MS));
  t.ok((shares[1] ?? HOSTS) < HOSTS / 2, `${shares.join()} of ${HOSTS} hosts`);
  t.strictSame(
    [...shares].sort((one, other) => one - other),
    shares,
  );
  t.equal(shares.at(-1), HOSTS);
  t.end();
});

t.test('the delay fades with the remaining time', (t) => {
  const delays = [60_000, 3000, 1000, 0, -1].map(computeColdDelayMs);
  t.strictSame(delays, [400, 300, 100, 0, 0]);
  t.end();
});
