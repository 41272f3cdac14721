import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { rankServers } from '#dist/decisions/serving/rankServers/index.js';
import { EMPTY_PACE_SAMPLE, mergePaceSample } from '#dist/decisions/pace/mergePaceSample/index.js';
import type { PaceSample, ServerPace } from '#dist/decisions/pace/types.js';
import type {
  RankedServer,
  RoutedRequest,
  ServerCandidate,
} from '#dist/decisions/serving/types.js';

const TOKENS_PER_MS = 38.7;
const CHUNK_TOKENS = 2048;
const STEP_MS = 5.5;
const STEP_MS_PER_STREAM = 0.3;
const STRIDE = 5; // tokens in one event
const PAUSE_TARGET_MS = 500;
const FIRST_EVENT_TARGET_MS = 800;
const UPDATE_MS = 1000; // of the leader's figures
const DECAY = 0.5 ** (1 / 6); // half-life of 6 s

/** A request in the replay. */
export interface ReplayedRequest {
  isStream: boolean;
  arrivedAtMs: number;
  startedAtMs: number;
  promptTokens: number;
  /** Tokens of memory once it runs, without its output. */
  heldTokens: number;
  outputTokens: number;
  produced: number;
  lastEventAtMs: number;
  longestPauseMs: number;
  firstEventMs: number;
}

/** An engine in the replay: each step processes a chunk of prompts and one token of each stream. */
export interface ReplayedEngine {
  id: string;
  speed: number;
  nowMs: number;
  waiting: ReplayedRequest[];
  running: ReplayedRequest[];
  sample: PaceSample;
  memoryTokens: number;
  preemptions: number;
  /** Streams and late ones since the last update. */
  recent: { streams: number; late: number };
}

/** What happened to the short streams, and how long the prompts took to their first event. */
export interface ReplayResult {
  streams: number;
  pausedStreams: number;
  lateStreams: number;
  refused: number;
  prompts: number;
  latePrompts: number;
  preemptions: number;
}

/** Options of the replay. */
export interface ReplayOptions {
  seed: number;
  speeds: readonly number[];
  streamsPerSecond: number;
  promptsPerSecond: number;
  seconds?: number;
  /** Memory of each engine; enough for all requests by default. */
  memoryTokens?: number;
  /** Computes the paces that count, from the samples by engine, once a second. */
  computePaces: (samples: ReadonlyMap<string, PaceSample>) => ReadonlyMap<string, ServerPace>;
  /** Called once a second, after the paces. */
  onUpdate?: (engines: readonly ReplayedEngine[]) => void;
  /** Chooses among the ranked engines; the first one by default. */
  choose?: (ranked: readonly RankedServer[], request: RoutedRequest) => string | undefined;
  /** Whether a request that `choose` left out waits and is tried again until its target. */
  hasQueue?: boolean;
}

/** Counts the tokens of memory that the running requests of an engine hold. */
export function countHeldTokens({ running }: ReplayedEngine): number {
  return running.reduce((sum, { heldTokens, produced }) => sum + heldTokens + produced, 0);
}

/** Takes the newest requests out of the batch of an engine whose memory has run out. */
function evictNewest(engine: ReplayedEngine): void {
  while (engine.running.length > 1 && countHeldTokens(engine) > engine.memoryTokens) {
    const newest = engine.running.pop();
    if (newest === undefined) return;
    newest.promptTokens = newest.heldTokens + newest.produced;
    engine.waiting.unshift(newest);
    engine.preemptions += 1;
  }
}

/** Runs one step of an engine; calls back with each request that ends. */
function runStep(engine: ReplayedEngine, onEnd: (request: ReplayedRequest) => void): void {
  evictNewest(engine);
  let chunk = CHUNK_TOKENS;
  let freeTokens = engine.memoryTokens - countHeldTokens(engine);
  const streams = [...engine.running];
  while (chunk > 0 && engine.waiting[0] !== undefined && engine.running.length < 32) {
    const next = engine.waiting[0];
    const neededTokens = next.heldTokens + next.produced;
    if (engine.running.length > 0 && neededTokens > freeTokens) break;
    const tokens = Math.min(chunk, next.promptTokens);
    next.promptTokens -= tokens;
    chunk -= tokens;
    if (next.promptTokens > 0) break;
    engine.waiting.shift();
    freeTokens -= neededTokens;
    engine.running.push(next);
  }
  const workMs = (CHUNK_TOKENS - chunk) / TOKENS_PER_MS + STEP_MS_PER_STREAM * streams.length;
  engine.nowMs += (STEP_MS + workMs) / engine.speed;
  for (const request of streams) {
    request.produced += 1;
    if (request.produced % STRIDE !== 0 && request.produced < request.outputTokens) continue;
    if (request.lastEventAtMs === 0) request.firstEventMs = engine.nowMs - request.startedAtMs;
    else {
      const pauseMs = engine.nowMs - request.lastEventAtMs;
      request.longestPauseMs = Math.max(request.longestPauseMs, pauseMs);
    }
    request.lastEventAtMs = engine.nowMs;
    if (request.produced < request.outputTokens) continue;
    engine.running.splice(engine.running.indexOf(request), 1);
    onEnd(request);
  }
}

function buildCandidate(engine: ReplayedEngine, pace: ServerPace | undefined): ServerCandidate {
  return {
    id: engine.id,
    active: engine.running.length + engine.waiting.length,
    slots: 32,
    backlogTokens: engine.waiting.reduce((sum, { promptTokens }) => sum + promptTokens, 0),
    urgentBacklogTokens: 0,
    reservedTokens: [...engine.running, ...engine.waiting].reduce(
      (sum, { heldTokens, outputTokens }) => sum + heldTokens + outputTokens,
      0,
    ),
    memoryTokens: engine.memoryTokens,
    cachedTokens: 0,
    holdsAdapter: true,
    isInLocalDataCentre: true,
    failureRate: 0,
    serviceTimeMs: 1500,
    latencyRatio: pace?.latencyRatio ?? 1,
    slowShare: pace?.slowShare ?? 0,
    waitMs: 0,
  };
}

/** Replays short streams, which accept pauses of 500 ms, beside long prompts on engines. */
export function replayEngines(options: ReplayOptions): ReplayResult {
  const { speeds, streamsPerSecond, promptsPerSecond, seconds = 40, choose, onUpdate } = options;
  const generator = xoroshiro128plus(options.seed);
  const random = (): number => uniformFloat64(generator);
  // A generator of its own, so that the arrivals are the same under each rule.
  const choices = xoroshiro128plus(options.seed + 1000);
  const randomChoice = (): number => uniformFloat64(choices);
  const result: ReplayResult = {
    streams: 0,
    pausedStreams: 0,
    lateStreams: 0,
    refused: 0,
    prompts: 0,
    latePrompts: 0,
    preemptions: 0,
  };
  const engines = speeds.map((speed, index): ReplayedEngine => {
    const recent = { streams: 0, late: 0 };
    const { memoryTokens = 1_000_000 } = options;
    const load = { nowMs: 0, waiting: [], running: [], recent, preemptions: 0 };
    const common = { speed, memoryTokens, ...load };
    return { id: `e${index}`, ...common, sample: EMPTY_PACE_SAMPLE };
  });
  let paces: ReadonlyMap<string, ServerPace> = new Map();
  let queued: ReplayedRequest[] = [];

  const finish = (engine: ReplayedEngine, request: ReplayedRequest, estimatedMs: number): void => {
    const totalMs = request.startedAtMs - request.arrivedAtMs + request.firstEventMs;
    const isPaused = request.longestPauseMs > PAUSE_TARGET_MS;
    const isLate = isPaused || totalMs > FIRST_EVENT_TARGET_MS;
    if (request.isStream) {
      result.streams += 1;
      result.pausedStreams += isPaused ? 1 : 0;
      result.lateStreams += isLate ? 1 : 0;
      engine.recent.streams += 1;
      engine.recent.late += isPaused || request.firstEventMs > FIRST_EVENT_TARGET_MS ? 1 : 0;
    } else {
      result.prompts += 1;
      result.latePrompts += totalMs > 2 * FIRST_EVENT_TARGET_MS ? 1 : 0;
    }
    engine.sample = mergePaceSample(engine.sample, {
      streams: request.isStream ? 1 : 0,
      slowStreams: request.isStream && isPaused ? 1 : 0,
      measuredMs: request.firstEventMs,
      estimatedMs,
    });
  };
  const estimates = new Map<ReplayedRequest, number>();
  const advance = (untilMs: number): void => {
    for (const engine of engines) {
      while (engine.nowMs < untilMs && engine.running.length + engine.waiting.length > 0)
        runStep(engine, (request) => finish(engine, request, estimates.get(request) ?? 0));
      engine.nowMs = Math.max(engine.nowMs, untilMs);
    }
  };
  /** Sends a request to an engine, if one is chosen. */
  const trySend = (request: ReplayedRequest, nowMs: number): boolean => {
    const routed: RoutedRequest = {
      affinityKey: '',
      sharedParts: [],
      sharedTokens: 0,
      unsharedTokens: request.promptTokens + request.outputTokens,
      outputTokens: request.outputTokens,
      isUrgent: false,
      hasPauseTarget: request.isStream,
    };
    const candidates = engines.map((engine) => buildCandidate(engine, paces.get(engine.id)));
    const ranked = rankServers(candidates, routed, randomChoice);
    const id = choose === undefined ? ranked[0]?.candidate.id : choose(ranked, routed);
    const best = ranked.find(({ candidate }) => candidate.id === id);
    const engine = engines.find((item) => item.id === id);
    if (best === undefined || engine === undefined) return false;
    request.startedAtMs = nowMs;
    estimates.set(request, Math.max(40, best.delayMs) / best.candidate.latencyRatio);
    engine.waiting.push(request);
    return true;
  };
  const resumeQueued = (nowMs: number): void => {
    queued = queued.filter((request) => {
      if (nowMs - request.arrivedAtMs > FIRST_EVENT_TARGET_MS / 2) {
        result.refused += 1;
        return false;
      }
      return !trySend(request, nowMs);
    });
  };

  let updateAtMs = UPDATE_MS;
  const perSecond = streamsPerSecond + promptsPerSecond;
  const nextGapMs = (): number => (-1000 / perSecond) * Math.log(1 - random());
  for (let nowMs = nextGapMs(); nowMs < seconds * 1000; nowMs += nextGapMs()) {
    for (; updateAtMs < nowMs; updateAtMs += UPDATE_MS) {
      advance(updateAtMs);
      paces = options.computePaces(new Map(engines.map(({ id, sample }) => [id, sample])));
      onUpdate?.(engines);
      for (const engine of engines) {
        engine.sample = mergePaceSample(engine.sample, EMPTY_PACE_SAMPLE, DECAY);
        engine.recent = { streams: 0, late: 0 };
      }
    }
    advance(nowMs);
    resumeQueued(nowMs);
    const isStream = random() * perSecond < streamsPerSecond;
    // Half of the prompts find their shared part cached.
    const promptTokens = isStream ? 300 : 2890 + (random() < 0.5 ? 6300 : 0);
    const request: ReplayedRequest = {
      isStream,
      arrivedAtMs: nowMs,
      startedAtMs: nowMs,
      promptTokens,
      heldTokens: promptTokens,
      outputTokens: isStream ? 49 * STRIDE : 20 * STRIDE,
      produced: 0,
      lastEventAtMs: 0,
      longestPauseMs: 0,
      firstEventMs: 0,
    };
    if (trySend(request, nowMs)) continue;
    if (options.hasQueue === true) queued.push(request);
    else result.refused += 1;
  }
  result.preemptions = engines.reduce((sum, { preemptions }) => sum + preemptions, 0);
  return result;
}
