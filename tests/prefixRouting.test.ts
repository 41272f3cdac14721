import t from 'tap';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { computeChoiceSpread } from '#dist/decisions/serving/computeChoiceSpread/index.js';
import { computeWorkWeight } from '#dist/decisions/serving/computeWorkWeight/index.js';
import { rankServers } from '#dist/decisions/serving/rankServers/index.js';

const TOKENS_PER_MS = 38.7;
const SHARED_TOKENS = 6300;
const MEAN_UNSHARED_TOKENS = 2900;
const LATENCY_TARGET_MS = 800;
const ROUND_MS = 200;
const BELIEF_MS = 8000; // for which a host takes a prefix that it sent to an engine for cached
const SECONDS = 40;
const SEEDS = [1, 2, 3];

/** A load of prompts that share prefixes. */
interface PrefixLoad {
  engines: number;
  hosts: number;
  prefixes: number;
  /** Work as a fraction of what the engines process, if a fifth of the shared tokens is processed again. */
  utilisation: number;
  /** Tokens that an engine keeps. */
  cacheTokens: number;
  /** Age of what hosts know of each other's requests. */
  viewAgeMs: number;
}

const LOAD: PrefixLoad = {
  engines: 4,
  hosts: 70,
  prefixes: 24,
  utilisation: 0.7,
  cacheTokens: 90_000,
  viewAgeMs: 300,
};

interface SentPrompt {
  engine: number;
  host: number;
  tokens: number;
  sentAtMs: number;
  firstTokenAtMs: number;
}

/** Keeps the most recently used entries of an engine's prefix cache. */
function recordUse(cache: Map<string, number>, key: string, tokens: number, limit: number): void {
  cache.delete(key);
  cache.set(key, tokens);
  let used = [...cache.values()].reduce((sum, count) => sum + count, 0);
  for (const [oldest, count] of cache) {
    if (used <= limit) break;
    cache.delete(oldest);
    used -= count;
  }
}

/** Replays a load; returns the fraction of prompts whose first token is on time. */
function measureOnTime(seed: number, load: PrefixLoad, othersWeight: number): number {
  const arrivals = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(arrivals);
  const choices = xoroshiro128plus(seed + 1000);
  const spread = computeChoiceSpread(load.hosts);
  const engines = Array.from({ length: load.engines }, () => ({
    freeAtMs: 0,
    cache: new Map<string, number>(),
  }));
  const sentAtMs = new Map<string, number>();
  const meanTokens = MEAN_UNSHARED_TOKENS + 0.2 * SHARED_TOKENS;
  const meanGapMs = meanTokens / (load.utilisation * TOKENS_PER_MS * load.engines);
  let pending: SentPrompt[] = [];
  let count = 0;
  let onTime = 0;
  for (let nowMs = 0; nowMs < SECONDS * 1000; nowMs -= meanGapMs * Math.log(1 - random())) {
    const host = Math.floor(random() * load.hosts);
    const prefix = `p${Math.floor(random() * load.prefixes)}`;
    const unsharedTokens = Math.ceil(200 - Math.log(1 - random()) * MEAN_UNSHARED_TOKENS);
    pending = pending.filter(({ firstTokenAtMs }) => firstTokenAtMs > nowMs - 2 * load.viewAgeMs);
    const viewAtMs = Math.floor((nowMs - load.viewAgeMs) / ROUND_MS) * ROUND_MS;
    const candidates = engines.map((_, engine) => {
      const waiting = pending.filter((sent) => {
        const atMs = sent.host === host ? nowMs : viewAtMs;
        return sent.engine === engine && sent.sentAtMs <= atMs && sent.firstTokenAtMs > atMs;
      });
      const lastSentAtMs = sentAtMs.get(`${host}/${engine}/${prefix}`) ?? -Infinity;
      return {
        id: `e${engine}`,
        active: waiting.length,
        slots: 32,
        backlogTokens: waiting.reduce((sum, { tokens }) => sum + tokens, 0),
        urgentBacklogTokens: 0,
        reservedTokens: 0,
        memoryTokens: 1_000_000,
        cachedTokens: nowMs - lastSentAtMs < BELIEF_MS ? SHARED_TOKENS : 0,
        holdsAdapter: true,
        isInLocalDataCentre: true,
        failureRate: 0,
        serviceTimeMs: 500,
        latencyRatio: 1,
        slowShare: 0,
        waitMs: 0,
      };
    });
    const request = {
      affinityKey: prefix,
      sharedParts: [{ key: prefix, tokens: SHARED_TOKENS }],
      sharedTokens: SHARED_TOKENS,
      unsharedTokens,
      isUrgent: false,
    };
    const [best] = rankServers(candidates, request, () => uniformFloat64(choices), {
      spread,
      othersWeight,
    });
    if (best === undefined) throw new Error('no engine was chosen');
    const index = Number(best.candidate.id.slice(1));
    const engine = engines[index];
    if (engine === undefined) throw new Error(`engine ${index} does not exist`);
    const isCached = engine.cache.has(prefix);
    recordUse(engine.cache, prefix, SHARED_TOKENS, load.cacheTokens);
    recordUse(engine.cache, `own-${count}`, unsharedTokens, load.cacheTokens);
    const workMs = (unsharedTokens + (isCached ? 0 : SHARED_TOKENS)) / TOKENS_PER_MS;
    engine.freeAtMs = Math.max(nowMs, engine.freeAtMs) + workMs;
    sentAtMs.set(`${host}/${index}/${prefix}`, nowMs);
    pending.push({
      engine: index,
      host,
      tokens: best.uncachedTokens,
      sentAtMs: nowMs,
      firstTokenAtMs: engine.freeAtMs,
    });
    count += 1;
    if (engine.freeAtMs - nowMs <= LATENCY_TARGET_MS) onTime += 1;
  }
  return onTime / count;
}

function measureMean(load: PrefixLoad, othersWeight: number): number {
  return (
    SEEDS.reduce((sum, seed) => sum + measureOnTime(seed, load, othersWeight), 0) / SEEDS.length
  );
}

// Guards against choices by the caller's own delay alone, which make engines process prefixes again
// when they are short of time for it.
const BUSY_LOADS: Record<string, Partial<PrefixLoad>> = {
  'all engines busy': {},
  'old figures': { viewAgeMs: 2000 },
  'prefixes that do not fit': { prefixes: 60 },
  'few hosts': { hosts: 7 },
  'a wave above what the engines process': { utilisation: 0.85 },
};
for (const [name, change] of Object.entries(BUSY_LOADS))
  t.test(`serves more prompts on time where the delay of others counts: ${name}`, (t) => {
    const load = { ...LOAD, ...change };
    const before = measureMean(load, 0);
    const after = measureMean(load, 1);
    t.ok(after > before, `${after} on time, ${before} before`);
    t.end();
  });

t.test('a request that nobody waits for counts for itself only', (t) => {
  t.equal(computeWorkWeight([{ backlogTokens: 0 }], { tokens: 9000 }), 1);
  t.equal(
    computeWorkWeight([{ backlogTokens: 18_000 }, { backlogTokens: 0 }], { tokens: 9000 }),
    2,
  );
  t.equal(computeWorkWeight([{ backlogTokens: 18_000 }], { tokens: 9000, othersWeight: 0 }), 1);
  t.equal(computeWorkWeight([], { tokens: 9000 }), 1);
  t.end();
});
