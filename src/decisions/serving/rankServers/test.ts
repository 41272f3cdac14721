import t from 'tap';
import type { RoutedRequest, ServerCandidate } from '../types.js';
import { rankServers } from './index.js';

const engine = (id: string, change: Partial<ServerCandidate> = {}): ServerCandidate => ({
  id,
  active: 0,
  slots: 64,
  backlogTokens: 0,
  urgentBacklogTokens: 0,
  reservedTokens: 0,
  memoryTokens: 232_000,
  cachedTokens: 0,
  holdsAdapter: true,
  isInLocalDataCentre: true,
  failureRate: 0,
  serviceTimeMs: 500,
  latencyRatio: 1,
  slowShare: 0,
  waitMs: 0,
  ...change,
});
const report: RoutedRequest = {
  affinityKey: 'm/depot-7',
  sharedParts: [
    { key: 'm/form', tokens: 2520 },
    { key: 'm/depot-7', tokens: 3780 },
  ],
  sharedTokens: 6300,
  unsharedTokens: 2900,
  isUrgent: false,
};
const rank = (candidates: ServerCandidate[], request = report) =>
  rankServers(candidates, request, () => 0.5).map(({ candidate }) => candidate.id);

t.test(
  'sends requests that share a prompt prefix to one engine, regardless of the list order',
  (t) => {
    const engines = ['a', 'b', 'c', 'd'].map((id) => engine(id));
    const first = rank(engines)[0];
    t.equal(rank([...engines].reverse())[0], first);
    t.end();
  },
);

t.test('leaves that engine when its backlog costs more than processing the prefix again', (t) => {
  const engines = ['a', 'b', 'c', 'd'].map((id) => engine(id));
  const first = rank(engines)[0];
  const loaded = (tokens: number) =>
    rank(engines.map((item) => (item.id === first ? { ...item, backlogTokens: tokens } : item)))[0];
  t.equal(loaded(5000), first);
  t.not(loaded(9000), first);
  t.end();
});

t.test('avoids an engine that fails, is slow, or has no free memory', (t) => {
  const plain = {
    affinityKey: '',
    sharedParts: [],
    sharedTokens: 0,
    unsharedTokens: 800,
    isUrgent: false,
  };
  t.equal(rank([engine('a', { failureRate: 0.5 }), engine('b', { active: 20 })], plain)[0], 'b');
  t.equal(rank([engine('a', { latencyRatio: 4 }), engine('b', { active: 20 })], plain)[0], 'b');
  t.equal(
    rank([engine('a', { reservedTokens: 232_000 }), engine('b', { active: 40 })], plain)[0],
    'b',
  );
  t.end();
});

t.test('prefers a server without models that has free slots to one with a queue', (t) => {
  const plain = {
    affinityKey: '',
    sharedParts: [],
    sharedTokens: 0,
    unsharedTokens: 0,
    isUrgent: false,
  };
  const busy = engine('busy', { slots: 6, active: 9, memoryTokens: 0, serviceTimeMs: 40 });
  const far = engine('far', {
    slots: 6,
    active: 3,
    memoryTokens: 0,
    serviceTimeMs: 40,
    isInLocalDataCentre: false,
  });
  t.equal(rank([busy, far], plain)[0], 'far');
  t.end();
});

t.test('prefers an engine with the adapter unless its backlog is much larger', (t) => {
  const chat = {
    affinityKey: '',
    sharedParts: [],
    sharedTokens: 0,
    unsharedTokens: 800,
    isUrgent: false,
  };
  const without = engine('without', { holdsAdapter: false });
  t.equal(rank([without, engine('with', { backlogTokens: 500 })], chat)[0], 'with');
  t.equal(rank([without, engine('with', { backlogTokens: 5000 })], chat)[0], 'without');
  t.end();
});

t.test('ignores the backlog of requests that are not urgent for an urgent one', (t) => {
  const check = {
    affinityKey: '',
    sharedParts: [],
    sharedTokens: 0,
    unsharedTokens: 800,
    isUrgent: true,
  };
  const patient = engine('patient', { backlogTokens: 90_000 });
  const urgent = engine('urgent', { backlogTokens: 20_000, urgentBacklogTokens: 20_000 });
  t.equal(rank([patient, urgent], check)[0], 'patient');
  t.equal(rank([patient, urgent], { ...check, isUrgent: false })[0], 'urgent');
  t.end();
});

t.test(
  'prefers an engine that processed the prefix recently when the preferred one is overloaded',
  (t) => {
    const engines = ['a', 'b', 'c', 'd'].map((id) => engine(id));
    const first = rank(engines)[0];
    const overloaded = engines.map((item) =>
      item.id === first ? { ...item, backlogTokens: 90_000 } : item,
    );
    for (const { id } of overloaded.filter((item) => item.id !== first)) {
      const withCache = overloaded.map((item) =>
        item.id === id ? { ...item, cachedTokens: 2520 } : item,
      );
      t.equal(rank(withCache)[0], id);
      const busy = withCache.map((item) =>
        item.id === id ? { ...item, backlogTokens: 6000 } : item,
      );
      t.not(
        rank(busy)[0],
        id,
        'but not when its backlog costs more than processing the prefix again',
      );
    }
    t.end();
  },
);
