import t from 'tap';
import { computeChoiceSpread } from '../../decisions/serving/computeChoiceSpread/index.js';
import { ServerOutcome } from './_lib/serverHealth.js';
import { createPrefixCacheEstimate } from './_lib/createPrefixCacheEstimate.js';
import { rankServers } from '../../decisions/serving/rankServers/index.js';
import { createServerPaces } from '../createServerPaces/index.js';
import { createServerRegistry } from './index.js';

const parts = [
  { key: 'm/form', tokens: 2520 },
  { key: 'm/depot-7', tokens: 3780 },
];

t.test('counts the leading parts that were processed lately', (t) => {
  const estimate = createPrefixCacheEstimate();
  t.equal(estimate.countCachedTokens(parts, 0), 0);
  estimate.record(parts.slice(0, 1), 0);
  t.equal(estimate.countCachedTokens(parts, 1000), 2520);
  estimate.record(parts, 1000);
  t.equal(estimate.countCachedTokens(parts, 2000), 6300);
  t.end();
});

t.test('counts no part after one that has expired', (t) => {
  const estimate = createPrefixCacheEstimate();
  estimate.record(parts, 0);
  estimate.record(parts.slice(1), 7000);
  t.equal(estimate.countCachedTokens(parts, 9000), 0);
  t.end();
});

t.test('drops the oldest parts above the limit of parts', (t) => {
  const estimate = createPrefixCacheEstimate();
  estimate.record(parts, 0);
  for (let index = 0; index < 2000; index += 1)
    estimate.record([{ key: `m/own-${index}`, tokens: 10 }], 1);
  t.equal(estimate.countCachedTokens(parts, 2), 0);
  t.end();
});

t.test('forgets the adapters of an engine that has restarted', (t) => {
  const clock = { monotonicMs: () => 0, wallMs: () => 0 };
  const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
  const registry = createServerRegistry({
    clock,
    log,
    dataCentre: 'a',
    getWaitMs: () => 0,
    paces: createServerPaces(),
  });
  const buildEngine = (incarnation: string, adapters: string[]) => ({
    id: 'e1',
    service: 'llm',
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'a',
    slots: 8,
    isLeaving: false,
    models: [{ name: 'oak', adapters }],
    incarnation,
  });
  const holdsAdapter = () =>
    registry.listCandidates({ service: 'llm', model: 'oak', adapter: 'a1' })[0]?.holdsAdapter;
  registry.setServers(new Map([['e1', buildEngine('first', ['a1'])]]));
  registry.updateAdapters(new Map([['e1', new Set(['oak/a1'])]]));
  t.equal(holdsAdapter(), true);
  registry.setServers(new Map([['e1', buildEngine('second', [])]]));
  t.equal(holdsAdapter(), false);
  t.end();
});

t.test(
  'a host that has just started chooses as one of many, as it knows no load of the others',
  (t) => {
    const clock = { monotonicMs: () => 0, wallMs: () => 0 };
    const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
    const registry = createServerRegistry({
      clock,
      log,
      dataCentre: 'a',
      getWaitMs: () => 0,
      paces: createServerPaces(),
    });
    t.ok(computeChoiceSpread(registry.getHostCount()) > 0);
    registry.setHostCount(1);
    t.equal(computeChoiceSpread(registry.getHostCount()), 0);
    t.end();
  },
);

/** Sends 400 new streams, of which each ends after 30 others; counts them by server. */
function countChoices(listVersion: (index: number) => string) {
  let seed = 1;
  const random = (): number => (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;
  const registry = createServerRegistry({
    clock: { monotonicMs: () => 0, wallMs: () => 0 },
    log: { info: () => undefined, warn: () => undefined, error: () => undefined },
    dataCentre: 'a',
    getWaitMs: () => 0,
    paces: createServerPaces(),
  });
  const servers = Array.from({ length: 8 }, (_, index) => ({
    ...{ id: `e${index}`, service: 'llm', address: '127.0.0.1', port: 1, dataCentre: 'a' },
    ...{ slots: 24, isLeaving: false, models: [{ name: 'oak', adapters: [] }] },
    ...{ incarnation: `e${index}`, softwareVersion: listVersion(index) },
  }));
  registry.setServers(new Map(servers.map((server) => [server.id, server])));
  const tokens = { sharedTokens: 0, unsharedTokens: 900 };
  const request = { affinityKey: '', sharedParts: [], ...tokens, isUrgent: false };
  const spread = computeChoiceSpread(7);
  const counts = Object.fromEntries(servers.map(({ id }) => [id, 0]));
  const running: (() => void)[] = [];
  const load = { backlogTokens: 900, reservedTokens: 900, isUrgent: false, delayMs: 0 };
  for (let stream = 0; stream < 400; stream += 1) {
    const candidates = registry.listCandidates({ service: 'llm', model: 'oak' });
    const id = rankServers(candidates, request, random, { spread })[0]?.candidate.id ?? '';
    counts[id] = (counts[id] ?? 0) + 1;
    const tracked = registry.trackRequest(id, { ...load, sharedParts: [] });
    running.push(() => tracked.release(ServerOutcome.served));
    if (running.length > 30) running.shift()?.();
  }
  return { counts: Object.values(counts), registry };
}

t.test('new streams spread over servers of two versions as over those of one', (t) => {
  const one = countChoices(() => 'v1');
  const { counts, registry } = countChoices((index) => (index < 2 ? 'v2' : 'v1'));
  t.strictSame(counts, one.counts);
  t.ok(Math.max(...counts) < 1.5 * (400 / 8), counts.join());
  const countBound = (softwareVersion: string | undefined) =>
    registry.listCandidates({ service: 'llm', boundVersion: { softwareVersion } }).length;
  t.strictSame(['v1', 'v2', 'v3', undefined].map(countBound), [6, 2, 0, 0]);
  t.end();
});
