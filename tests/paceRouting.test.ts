import t from 'tap';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { computeLatencyRatio } from '#dist/decisions/pace/computeLatencyRatio/index.js';
import { computeServerPace } from '#dist/decisions/pace/computeServerPace/index.js';
import { EMPTY_PACE_SAMPLE, mergePaceSample } from '#dist/decisions/pace/mergePaceSample/index.js';
import { rankServers } from '#dist/decisions/serving/rankServers/index.js';
import type { PaceSample, ServerPace } from '#dist/decisions/pace/types.js';

const SPEEDS = [0.5, 1, 1, 1]; // an engine in four takes twice as long
const TOKENS_PER_MS = 38.7;
const UTILISATION = 0.6;
const MEAN_PROMPT_TOKENS = 6000;
const LATENCY_TARGET_MS = 800;
const SECONDS = 40;
const UPDATE_MS = 1000; // of the leader's paces
// A stream on the slow engine pauses for too long whenever prompts are processed beside it.
const MIN_BUSY_MS = 150;

interface Engine {
  id: string;
  speed: number;
  freeAtMs: number;
  backlog: { tokens: number; untilMs: number }[];
  sample: PaceSample;
  pace: ServerPace;
}

interface Result {
  prompts: number;
  latePrompts: number;
  streams: number;
  slowStreams: number;
}

/** Replays long prompts and short streams at many hosts, each of which sees few responses itself. */
function replayMixedLoad(seed: number, isShared: boolean): Result {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const engines = SPEEDS.map((speed, index): Engine => {
    const pace = computeServerPace(EMPTY_PACE_SAMPLE);
    return { id: `e${index}`, speed, freeAtMs: 0, backlog: [], sample: EMPTY_PACE_SAMPLE, pace };
  });
  const result = { prompts: 0, latePrompts: 0, streams: 0, slowStreams: 0 };
  const tokensPerMs = SPEEDS.reduce((sum, speed) => sum + speed, 0) * TOKENS_PER_MS;
  const meanGapMs = MEAN_PROMPT_TOKENS / (UTILISATION * tokensPerMs);
  let updateAtMs = UPDATE_MS;
  for (let nowMs = 0; nowMs < SECONDS * 1000; nowMs -= meanGapMs * Math.log(1 - random())) {
    if (isShared && nowMs >= updateAtMs) {
      updateAtMs += UPDATE_MS;
      for (const engine of engines) engine.pace = computeServerPace(engine.sample);
    }
    const isStream = random() < 0.5;
    const tokens = isStream ? 300 : -2 * Math.log(1 - random()) * MEAN_PROMPT_TOKENS;
    for (const engine of engines)
      engine.backlog = engine.backlog.filter(({ untilMs }) => untilMs > nowMs);
    const candidates = engines.map(({ id, backlog, pace }) => ({
      id,
      active: backlog.length,
      slots: 32,
      backlogTokens: backlog.reduce((sum, item) => sum + item.tokens, 0),
      urgentBacklogTokens: 0,
      reservedTokens: 0,
      memoryTokens: 1_000_000,
      cachedTokens: 0,
      holdsAdapter: true,
      isInLocalDataCentre: true,
      failureRate: 0,
      serviceTimeMs: 500,
      latencyRatio: computeLatencyRatio({
        ownRatio: 1,
        ownResponses: 0,
        fleetRatio: pace.latencyRatio,
      }),
      slowShare: pace.slowShare,
      waitMs: 0,
    }));
    const request = {
      affinityKey: '',
      sharedParts: [],
      sharedTokens: 0,
      unsharedTokens: tokens,
      isUrgent: isStream,
      hasPauseTarget: isStream,
    };
    const best = rankServers(candidates, request, random)[0];
    const engine = engines.find(({ id }) => id === best?.candidate.id);
    if (best === undefined || engine === undefined) throw new Error('no engine was chosen');
    if (isStream) {
      const isSlow = engine.speed < 1 && engine.freeAtMs - nowMs > MIN_BUSY_MS;
      engine.sample = mergePaceSample(engine.sample, {
        ...EMPTY_PACE_SAMPLE,
        streams: 1,
        slowStreams: isSlow ? 1 : 0,
      });
      result.streams += 1;
      result.slowStreams += isSlow ? 1 : 0;
      continue;
    }
    engine.freeAtMs = Math.max(nowMs, engine.freeAtMs) + tokens / (TOKENS_PER_MS * engine.speed);
    engine.backlog.push({ tokens, untilMs: engine.freeAtMs });
    const measuredMs = engine.freeAtMs - nowMs;
    const estimatedMs = best.delayMs / best.candidate.latencyRatio;
    engine.sample = mergePaceSample(engine.sample, {
      ...EMPTY_PACE_SAMPLE,
      measuredMs,
      estimatedMs,
    });
    result.prompts += 1;
    result.latePrompts += measuredMs > LATENCY_TARGET_MS ? 1 : 0;
  }
  return result;
}

// Guards against hosts that take a slow engine for an ordinary one, as each of them sees too few responses.
t.test('serves more prompts and streams on time where hosts share the paces of engines', (t) => {
  for (const seed of [1, 2, 3]) {
    const before = replayMixedLoad(seed, false);
    const after = replayMixedLoad(seed, true);
    t.ok(after.latePrompts / after.prompts < before.latePrompts / before.prompts, {
      seed,
      before,
      after,
    });
    t.ok(after.slowStreams / after.streams < before.slowStreams / before.streams, {
      seed,
      before,
      after,
    });
  }
  t.end();
});

t.test('a host with enough responses of its own relies on these', (t) => {
  t.equal(computeLatencyRatio({ ownRatio: 1.5, ownResponses: 10, fleetRatio: 4 }), 1.5);
  t.equal(computeLatencyRatio({ ownRatio: 1, ownResponses: 0, fleetRatio: 4 }), 4);
  t.equal(computeLatencyRatio({ ownRatio: 1, ownResponses: 0 }), 1);
  t.end();
});

t.test('a server counts as an ordinary one until several responses tell otherwise', (t) => {
  const one = { streams: 1, slowStreams: 1, measuredMs: 200, estimatedMs: 50 };
  t.ok(computeServerPace(one).slowShare <= 0.25);
  t.ok(computeServerPace(one).latencyRatio < 1.5);
  const many = { streams: 50, slowStreams: 50, measuredMs: 20_000, estimatedMs: 5000 };
  t.ok(computeServerPace(many).slowShare > 0.9);
  t.ok(computeServerPace(many).latencyRatio > 3.5);
  t.end();
});
