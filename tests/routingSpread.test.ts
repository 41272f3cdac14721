import t from 'tap';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { computeChoiceSpread } from '#dist/decisions/serving/computeChoiceSpread/index.js';
import { rankServers } from '#dist/decisions/serving/rankServers/index.js';
import type { ServerCandidate } from '#dist/decisions/serving/types.js';

const ENGINES = Array.from({ length: 8 }, (_, index) => `e${index}`);
const TOKENS_PER_MS = 38.7;
const MEAN_PROMPT_TOKENS = 3000;
const UTILISATION = 0.6; // of what all engines process
const SECONDS = 60;
const SEEDS = [1, 2, 3, 4, 5];
const ROUND_MS = 200;
const VIEW_DELAY_MS = 250; // a report waits for the round of the leader
const LATENCY_TARGET_MS = 600;

interface SentRequest {
  host: number;
  engine: string;
  tokens: number;
  sentAtMs: number;
  firstTokenAtMs: number;
}

/** Measures the backlog of an engine at a moment, of the requests that `isSeen` selects. */
function measureBacklog(
  requests: readonly SentRequest[],
  engine: string,
  atMs: number,
  isSeen: (host: number) => boolean,
): { active: number; tokens: number } {
  const seen = requests.filter(
    (request) =>
      request.engine === engine &&
      request.sentAtMs <= atMs &&
      request.firstTokenAtMs > atMs &&
      isSeen(request.host),
  );
  return { active: seen.length, tokens: seen.reduce((sum, { tokens }) => sum + tokens, 0) };
}

/** Builds what a host knows of an engine: its own load now, that of others as of an earlier round. */
function buildCandidate(
  requests: readonly SentRequest[],
  engine: string,
  host: number,
  nowMs: number,
): ServerCandidate {
  const viewAtMs = Math.floor((nowMs - VIEW_DELAY_MS) / ROUND_MS) * ROUND_MS;
  const own = measureBacklog(requests, engine, nowMs, (sender) => sender === host);
  const others = measureBacklog(requests, engine, viewAtMs, (sender) => sender !== host);
  return {
    id: engine,
    active: own.active + others.active,
    slots: 24,
    backlogTokens: own.tokens + others.tokens,
    urgentBacklogTokens: 0,
    reservedTokens: 0,
    memoryTokens: 1_000_000,
    cachedTokens: 0,
    holdsAdapter: true,
    isInLocalDataCentre: true,
    failureRate: 0,
    serviceTimeMs: 500,
    latencyRatio: 1,
    slowShare: 0,
    waitMs: 0,
  };
}

/** Replays prompts at random hosts; returns the fraction whose first token misses the target. */
function measureLateFraction(seed: number, hostCount: number, spread: number): number {
  const arrivals = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(arrivals);
  // A generator of its own, so that arrivals are the same with and without a spread.
  const choices = xoroshiro128plus(seed + 1000);
  const randomChoice = (): number => uniformFloat64(choices);
  const freeAtMs = new Map(ENGINES.map((engine) => [engine, 0]));
  let pending: SentRequest[] = [];
  let sent = 0;
  let late = 0;
  const meanGapMs = MEAN_PROMPT_TOKENS / (UTILISATION * TOKENS_PER_MS * ENGINES.length);
  for (let nowMs = 0; nowMs < SECONDS * 1000; nowMs -= meanGapMs * Math.log(1 - random())) {
    const host = Math.floor(random() * hostCount);
    const tokens = Math.ceil(-Math.log(1 - random()) * MEAN_PROMPT_TOKENS);
    pending = pending.filter(({ firstTokenAtMs }) => firstTokenAtMs > nowMs - 1000);
    const request = {
      affinityKey: '',
      sharedParts: [],
      sharedTokens: 0,
      unsharedTokens: tokens,
      isUrgent: false,
    };
    const candidates = ENGINES.map((engine) => buildCandidate(pending, engine, host, nowMs));
    const engine =
      rankServers(candidates, request, randomChoice, { spread })[0]?.candidate.id ?? '';
    const firstTokenAtMs = Math.max(nowMs, freeAtMs.get(engine) ?? 0) + tokens / TOKENS_PER_MS;
    freeAtMs.set(engine, firstTokenAtMs);
    pending.push({ host, engine, tokens, sentAtMs: nowMs, firstTokenAtMs });
    sent += 1;
    if (firstTokenAtMs - nowMs > LATENCY_TARGET_MS) late += 1;
  }
  return late / sent;
}

for (const hostCount of [7, 195])
  t.test(`serves more prompts in time from figures of one moment, ${hostCount} hosts`, (t) => {
    const measureMean = (spread: number): number =>
      SEEDS.reduce((sum, seed) => sum + measureLateFraction(seed, hostCount, spread), 0) /
      SEEDS.length;
    const before = measureMean(0);
    const after = measureMean(computeChoiceSpread(hostCount));
    t.ok(after < before, `${after} late with a spread, ${before} without`);
    t.end();
  });

t.test('keeps the best choice of a single host', (t) => {
  const before = measureLateFraction(4, 1, 0);
  t.equal(measureLateFraction(4, 1, computeChoiceSpread(1)), before);
  t.end();
});
