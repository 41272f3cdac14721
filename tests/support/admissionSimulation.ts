import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { isCapacityFree } from '#dist/decisions/admission/isCapacityFree/index.js';
import { computeChoiceSpread } from '#dist/decisions/serving/computeChoiceSpread/index.js';
import { rankServers } from '#dist/decisions/serving/rankServers/index.js';
import type { ServingConfiguration } from '#dist/ports/serving.js';
import {
  createAdmissionControl,
  type DemandedRequest,
} from '#dist/serving/createAdmissionControl/index.js';
import type { AdmissionLoad, AdmissionReplay, Tally } from './admissionSimulationTypes.js';
import { createAdmissionLevels } from '#dist/serving/startFleetLeader/_lib/createAdmissionLevels.js';

const TOKENS_PER_MS = 38.7;
const STEP_MS = 10;
const ROUND_MS = 200;
const PATIENCE_TARGETS = 4; // callers leave a stream without events after this multiple of their target
const SLOTS = 256;
const STREAM_MS = 1500; // a request keeps its slot for this long after its first event

interface SimulatedRequest extends DemandedRequest {
  classIndex: number;
  arrivedAtMs: number;
  /** When it was last sent to a host. */
  sentAtMs: number;
  deadlineAtMs: number;
  isLarge: boolean;
  hasRetried: boolean;
  remainingTokens: number;
}

const createTally = (): Tally => ({ sent: 0, inTime: 0, late: 0, refused: 0 });

function pickIndex(weights: readonly number[], random: number): number {
  let rest = random * weights.reduce((sum, weight) => sum + weight, 0);
  return Math.max(
    0,
    weights.findIndex((weight) => (rest -= weight) < 0),
  );
}

/** Replays a load on hosts that see each other's loads 200 to 400 ms late. */
export function replayAdmission(load: AdmissionLoad): AdmissionReplay {
  const arrivals = xoroshiro128plus(load.seed);
  const random = (): number => uniformFloat64(arrivals);
  const choices = xoroshiro128plus(load.seed + 1000);
  const choose = (): number => uniformFloat64(choices);
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const settings = { maximumRefusedShare: load.maximumRefusedShare, fairWeight: load.fairWeight };
  const hosts = Array.from({ length: load.hosts }, () =>
    createAdmissionControl({ clock, random: choose, load: settings }),
  );
  const configuration = {
    version: 1,
    routes: load.classes.map(({ priority, targetMs }) => ({
      shares: [{ service: 'llm', weight: 1 }],
      priority,
      latencyTargetMs: targetMs,
      pauseTargetMs: 400,
    })),
    services: new Map([['llm', { name: 'llm', engines: { memoryTokens: 10_000_000 } }]]),
  } as unknown as ServingConfiguration;
  const startLeader = () => {
    const leader = createAdmissionLevels({
      clock,
      load: settings,
      keptLevels: hosts[0]?.getKeptLevels() ?? new Map(),
      evacuations: { isEvacuated: () => false },
    });
    leader.setConfiguration(configuration);
    return leader;
  };
  let leader: ReturnType<typeof startLeader> | undefined = startLeader();
  const servers = new Map(
    Array.from({ length: load.engines }, (_, index) => [
      `e${index}`,
      { id: `e${index}`, service: 'llm', slots: SLOTS, isLeaving: false },
    ]),
  ) as unknown as Parameters<typeof leader.update>[0];
  const engines = Array.from({ length: load.engines }, () => ({
    // Engines process urgent requests first, and the others in the order of their arrival.
    queues: [[], []] as [SimulatedRequest[], SimulatedRequest[]],
    running: [] as number[],
    seenBacklog: 0,
  }));
  const result: AdmissionReplay = {
    total: createTally(),
    classes: load.classes.map(createTally),
    organisations: load.computeWeights(0).map(createTally),
    large: createTally(),
    retryFractions: [],
    retriesAdmitted: 0,
    retries: 0,
    retryPeak: 0,
    refusedWhileFree: 0,
    levels: [],
  };
  const count = (request: SimulatedRequest, kind: keyof Tally): void => {
    const organisation = result.organisations[Number(request.organisation.slice(1))];
    for (const tally of [result.total, result.classes[request.classIndex], organisation])
      if (tally !== undefined) tally[kind] += 1;
    if (request.isLarge) result.large[kind] += 1;
  };
  const retries: { request: SimulatedRequest; atMs: number }[] = [];
  const retriesByTime = new Map<number, number>();
  // What hosts see is that of the last round; each host adds what it has sent since.
  let views = engines.map(() => ({ backlog: 0, urgent: 0, active: 0 }));
  let nextViews = views;
  let sent: { key: string; isUrgent: boolean; tokens: number; atMs: number }[] = [];
  const sumSent = (key: string, isUrgentOnly: boolean): number =>
    sent.reduce(
      (sum, item) =>
        item.key === key && (item.isUrgent || !isUrgentOnly) ? sum + item.tokens : sum,
      0,
    );
  const spread = computeChoiceSpread(load.hosts);
  const measureLoads = () =>
    engines.map(({ queues, running }) => ({
      backlog: queues.flat().reduce((sum, { remainingTokens }) => sum + remainingTokens, 0),
      urgent: queues[0].reduce((sum, { remainingTokens }) => sum + remainingTokens, 0),
      active: queues.flat().length + running.length,
    }));

  const admit = (request: SimulatedRequest): void => {
    const hostIndex = Math.floor(choose() * load.hosts);
    const host = hosts[hostIndex];
    if (host === undefined) return;
    const remainingMs = request.deadlineAtMs - nowMs;
    host.recordRequest(request);
    const refusal = host.decide(request, remainingMs);
    const candidates = views.map((view, index) => ({
      id: `e${index}`,
      active: view.active,
      slots: SLOTS,
      backlogTokens: view.backlog + sumSent(`${hostIndex}/e${index}`, false),
      urgentBacklogTokens: view.urgent + sumSent(`${hostIndex}/e${index}`, true),
      reservedTokens: 0,
      memoryTokens: 1_000_000,
      cachedTokens: 0,
      holdsAdapter: true,
      isInLocalDataCentre: true,
      failureRate: 0,
      serviceTimeMs: 500,
      latencyRatio: 1,
      waitMs: 0,
    }));
    if (request.hasRetried) result.retries += 1;
    if (refusal !== undefined && !isCapacityFree(candidates)) {
      if (engines.some(({ queues, running }) => queues.flat().length + running.length === 0))
        result.refusedWhileFree += 1;
      result.retryFractions.push(refusal.retryAfterMs / remainingMs);
      if (request.hasRetried) count(request, 'refused');
      else {
        const atMs = nowMs + refusal.retryAfterMs;
        retries.push({ request: { ...request, hasRetried: true, sentAtMs: atMs }, atMs });
        const slot = Math.floor(atMs / 100);
        retriesByTime.set(slot, (retriesByTime.get(slot) ?? 0) + 1);
      }
      return;
    }
    if (request.hasRetried) result.retriesAdmitted += 1;
    const isUrgent = request.priority === 0;
    const routed = { affinityKey: '', sharedParts: [], sharedTokens: 0, isUrgent };
    const [best] = rankServers(candidates, { ...routed, unsharedTokens: request.tokens }, choose, {
      spread,
    });
    if (best === undefined) return;
    const { id } = best.candidate;
    sent.push({ key: `${hostIndex}/${id}`, isUrgent, tokens: request.tokens, atMs: nowMs });
    engines[Number(id.slice(1))]?.queues[isUrgent ? 0 : 1].push(request);
  };

  const runEngines = (): void => {
    for (const engine of engines) {
      engine.running = engine.running.filter((untilMs) => untilMs > nowMs);
      let tokens = TOKENS_PER_MS * STEP_MS;
      for (const queue of engine.queues)
        while (queue[0] !== undefined && tokens > 0) {
          const [request] = queue;
          const waitedMs = nowMs - request.arrivedAtMs;
          const hasLeft = waitedMs > Math.max(2000, PATIENCE_TARGETS * request.targetMs);
          if (hasLeft || nowMs > request.deadlineAtMs) {
            queue.shift();
            continue;
          }
          const done = Math.min(tokens, request.remainingTokens);
          tokens -= done;
          request.remainingTokens -= done;
          if (request.remainingTokens > 0) break;
          queue.shift();
          engine.running.push(nowMs + STREAM_MS);
          const isLate = waitedMs > request.targetMs;
          hosts[0]?.recordStream('llm', nowMs - request.sentAtMs > request.targetMs);
          count(request, isLate ? 'late' : 'inTime');
        }
    }
  };

  const runRound = (): void => {
    const second = nowMs / 1000;
    if (load.leaderFailsAt !== undefined) {
      if (second >= load.leaderFailsAt) leader = undefined;
      if (second >= load.leaderFailsAt + 2) {
        leader = startLeader();
        load = { ...load, leaderFailsAt: undefined };
      }
    }
    views = nextViews;
    const measured = measureLoads();
    nextViews = measured;
    sent = sent.filter(({ atMs }) => atMs >= nowMs - ROUND_MS);
    const samples = hosts.map((host) => host.takeSamples());
    if (leader === undefined) return;
    for (const sample of samples) leader.record(sample);
    const loads = Object.fromEntries(
      measured.map(({ active, backlog, urgent }, index) => [
        `e${index}`,
        [active, backlog, 0, urgent] as [number, number, number, number],
      ]),
    );
    const levels = leader.update(servers, loads);
    const isOlder = load.olderLeaderFrom !== undefined && second >= load.olderLeaderFrom;
    for (const host of hosts) host.setLevels(isOlder ? undefined : levels);
  };

  const meanTokens =
    load.classes.reduce((sum, item) => sum + item.weight * item.meanTokens, 0) /
    load.classes.reduce((sum, { weight }) => sum + weight, 0);
  let nextAtMs = 0;
  for (; nowMs < load.seconds * 1000; nowMs += STEP_MS) {
    const second = nowMs / 1000;
    if (nowMs % ROUND_MS === 0) runRound();
    for (const due of retries.filter(({ atMs }) => atMs <= nowMs && atMs > nowMs - STEP_MS))
      admit(due.request);
    while (nextAtMs <= nowMs) {
      const weights = load.computeWeights(second);
      const surge = weights.reduce((sum, weight) => sum + weight, 0);
      const perMs =
        (load.computeUtilisation(second) * surge * TOKENS_PER_MS * load.engines) / meanTokens;
      nextAtMs -= Math.log(1 - random()) / perMs;
      const classIndex = pickIndex(
        load.classes.map(({ weight }) => weight),
        random(),
      );
      const item = load.classes[classIndex];
      if (item === undefined) continue;
      const size = -Math.log(1 - random());
      const tokens = Math.ceil(item.meanTokens * size);
      const request: SimulatedRequest = {
        service: 'llm',
        priority: item.priority,
        targetMs: item.targetMs,
        organisation: `o${pickIndex(weights, random())}`,
        tokens,
        classIndex,
        arrivedAtMs: nowMs,
        sentAtMs: nowMs,
        deadlineAtMs: nowMs + item.timeoutMs,
        isLarge: size > Math.LN10,
        hasRetried: false,
        remainingTokens: tokens,
      };
      count(request, 'sent');
      admit(request);
    }
    runEngines();
    if (nowMs % 100 === 0) result.levels.push(hosts[0]?.findLevel('llm')?.refusedShare ?? 0);
  }
  result.retryPeak = Math.max(0, ...retriesByTime.values());
  return result;
}
