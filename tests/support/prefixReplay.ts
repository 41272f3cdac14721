import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { computeChoiceSpread } from '#dist/decisions/serving/computeChoiceSpread/index.js';
import { rankServers } from '#dist/decisions/serving/rankServers/index.js';
import type { ServingConfiguration } from '#dist/ports/serving.js';
import { createServerPaces } from '#dist/serving/createServerPaces/index.js';
import { createServerRegistry, type ServerLoad } from '#dist/serving/createServerRegistry/index.js';
import type { LoadOptions } from '#dist/serving/loadOptions.js';
import { createPrefixRelay } from '#dist/serving/startFleetLeader/_lib/createPrefixRelay.js';

const TOKENS_PER_MS = 38.7;
const SHARED_TOKENS = 6300;
const MEAN_UNSHARED_TOKENS = 2900;
const ROUND_MS = 200;
const RUN_MS = 2500; // for which a stream holds its memory after its first event
const LATENCY_TARGET_MS = 800;

/** A load of prompts that share prefixes, on hosts that choose from views of one leader. */
export interface PrefixLoad {
  engines: number;
  hosts: number;
  prefixes: number;
  /** Work as a fraction of what the engines process, if a fifth of the shared tokens is processed again. */
  utilisation: number;
  memoryTokens: number;
  /** Age of a view when it arrives; the next one follows a round later. */
  viewAgeMs: number;
  /** Part of the requests that have one prefix, which is another one every 3 s. */
  hotShare: number;
  /** Requests for a new prefix within 300 ms, every 1.5 s. */
  burstSize: number;
  /** Time after which one engine restarts, again and again; 0 for never. */
  restartMs: number;
  seconds: number;
}

export const LOAD: PrefixLoad = {
  engines: 4,
  hosts: 70,
  prefixes: 24,
  utilisation: 0.7,
  memoryTokens: 160_000,
  viewAgeMs: 300,
  hotShare: 0,
  burstSize: 0,
  restartMs: 0,
  seconds: 40,
};

/** Share of prompts whose first event is on time, and its mean delay; for bursts alone where there are any. */
export interface PrefixResult {
  onTime: number;
  meanMs: number;
}

/** Keeps what engines hold: parts that running streams use, and the most recently used others. */
function createEngine(memoryTokens: number) {
  const parts = new Map<string, { tokens: number; untilMs: number }>();
  const engine = { freeAtMs: 0, incarnation: 0, parts };
  const use = (key: string, tokens: number, untilMs: number): void => {
    const older = parts.get(key)?.untilMs ?? 0;
    parts.delete(key);
    parts.set(key, { tokens, untilMs: Math.max(older, untilMs) });
  };
  const process = (prefix: string, ownKey: string, ownTokens: number, nowMs: number): number => {
    const missing = parts.has(prefix) ? 0 : SHARED_TOKENS;
    engine.freeAtMs = Math.max(nowMs, engine.freeAtMs) + (ownTokens + missing) / TOKENS_PER_MS;
    use(prefix, SHARED_TOKENS, engine.freeAtMs + RUN_MS);
    use(ownKey, ownTokens, engine.freeAtMs + RUN_MS);
    let used = [...parts.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    for (const [key, { tokens, untilMs }] of parts) {
      if (used <= memoryTokens) break;
      if (untilMs > nowMs) continue;
      parts.delete(key);
      used -= tokens;
    }
    return engine.freeAtMs;
  };
  return Object.assign(engine, { process });
}

function listArrivals(load: PrefixLoad, random: () => number) {
  const draw = (prefix: string, atMs: number) => {
    const ownTokens = Math.ceil(200 - Math.log(1 - random()) * MEAN_UNSHARED_TOKENS);
    return { prefix, atMs, ownTokens, host: Math.floor(random() * load.hosts) };
  };
  const meanTokens = MEAN_UNSHARED_TOKENS + 200 + 0.2 * SHARED_TOKENS;
  const gapMs = meanTokens / (load.utilisation * TOKENS_PER_MS * load.engines);
  const endMs = load.seconds * 1000;
  const arrivals = [];
  for (let atMs = 0; atMs < endMs; atMs -= gapMs * Math.log(1 - random())) {
    const any = Math.floor(random() * load.prefixes);
    const hot = Math.floor(atMs / 3000) % load.prefixes;
    arrivals.push(draw(`p${random() < load.hotShare ? hot : any}`, atMs));
  }
  for (let atMs = 1000; load.burstSize > 0 && atMs < endMs; atMs += 1500)
    for (let count = 0; count < load.burstSize; count += 1)
      arrivals.push(draw(`burst-${atMs}`, atMs + 300 * random()));
  return arrivals.sort((one, other) => one.atMs - other.atMs);
}

function addLoad(loads: Map<string, ServerLoad>, id: string, load: ServerLoad, sign: 1 | -1): void {
  const sum = { active: 0, backlogTokens: 0, reservedTokens: 0, urgentBacklogTokens: 0 };
  const older = loads.get(id) ?? sum;
  for (const key of ['active', 'backlogTokens', 'reservedTokens'] as const)
    sum[key] = older[key] + sign * load[key];
  loads.set(id, sum);
}

/** Replays a load with the registries, reports and choices of hosts, on engines with prefix caches. */
export function replayPrefixes(
  seed: number,
  load: PrefixLoad,
  settings: Partial<LoadOptions>,
): PrefixResult {
  const arrivalGenerator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(arrivalGenerator);
  const choiceGenerator = xoroshiro128plus(seed + 1000);
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
  const engines = Array.from({ length: load.engines }, () => createEngine(load.memoryTokens));
  const service = { name: 'llm', engines: { memoryTokens: load.memoryTokens } };
  const configuration = { services: new Map([['llm', service]]) };
  const listServers = () =>
    new Map(
      engines.map(({ incarnation }, index) => [
        `e${index}`,
        {
          id: `e${index}`,
          service: 'llm',
          address: '127.0.0.1',
          port: 1,
          dataCentre: 'a',
          slots: 64,
          isLeaving: false,
          models: [],
          incarnation: `e${index}/${incarnation}`,
        },
      ]),
    );
  const hosts = Array.from({ length: load.hosts }, () => {
    const registry = createServerRegistry({
      clock,
      log,
      dataCentre: 'a',
      getWaitMs: () => 0,
      paces: createServerPaces(),
      prefixes: settings,
    });
    registry.setConfiguration(configuration as unknown as ServingConfiguration);
    registry.setServers(listServers());
    return registry;
  });
  const relay = createPrefixRelay();
  const events: { atMs: number; run: () => void }[] = [];
  const running = new Set<{ recordBytes: () => void }>();
  const schedule = (atMs: number, run: () => void): void => {
    const next = events.findIndex((event) => event.atMs > atMs);
    events.splice(next < 0 ? events.length : next, 0, { atMs, run });
  };
  const runRound = (): void => {
    for (const request of running) request.recordBytes();
    const total = new Map<string, ServerLoad>();
    const reports = hosts.map((host, index) => {
      relay.record(`h${index}`, host.takePrefixUses());
      const loads = [...host.getOwnLoads()].map(([id, own]) => [id, { ...own }] as const);
      for (const [id, own] of loads) addLoad(total, id, own, 1);
      return loads;
    });
    const findUses = relay.takeRound();
    schedule(nowMs + load.viewAgeMs, () => {
      for (const [index, host] of hosts.entries()) {
        const others = new Map(total);
        for (const [id, own] of reports[index] ?? []) addLoad(others, id, own, -1);
        host.setRemoteLoads(others);
        host.recordRemoteUses(findUses(`h${index}`) ?? {});
      }
    });
    schedule(nowMs + ROUND_MS, runRound);
  };
  const restart = (): void => {
    const engine = engines[Math.floor(random() * engines.length)];
    engine?.parts.clear();
    if (engine !== undefined) engine.incarnation += 1;
    for (const host of hosts) host.setServers(listServers());
    schedule(nowMs + load.restartMs, restart);
  };
  schedule(0, runRound);
  if (load.restartMs > 0) schedule(load.restartMs, restart);
  const delays: number[] = [];
  for (const { prefix, atMs, ownTokens, host } of listArrivals(load, random)) {
    while ((events[0]?.atMs ?? Infinity) <= atMs) {
      const event = events.shift();
      nowMs = event?.atMs ?? nowMs;
      event?.run();
    }
    nowMs = atMs;
    const registry = hosts[host];
    const sharedParts = [{ key: prefix, tokens: SHARED_TOKENS }];
    const request = {
      affinityKey: prefix,
      sharedParts,
      sharedTokens: SHARED_TOKENS,
      unsharedTokens: ownTokens,
      isUrgent: false,
      hasPauseTarget: true,
    };
    const candidates =
      registry?.listCandidates({ service: 'llm', sharedParts, hasPauseTarget: true }) ?? [];
    const [best] = rankServers(candidates, request, () => uniformFloat64(choiceGenerator), {
      ...settings,
      spread: computeChoiceSpread(load.hosts),
      usesAgeMs: registry?.getUsesAgeMs(),
      prefixRequestsPerMs: registry?.getPrefixRate(prefix) ?? 0,
    });
    const engine = engines[Number(best?.candidate.id.slice(1))];
    if (registry === undefined || best === undefined || engine === undefined)
      throw new Error('no engine was chosen');
    const tracked = registry.trackRequest(best.candidate.id, {
      backlogTokens: best.uncachedTokens,
      reservedTokens: ownTokens + 0.3 * SHARED_TOKENS,
      isUrgent: false,
      delayMs: best.delayMs,
      sharedParts,
    });
    running.add(tracked);
    const firstAtMs = engine.process(prefix, `own-${delays.length}-${atMs}`, ownTokens, nowMs);
    schedule(firstAtMs, () => tracked.recordFirstBytes());
    schedule(firstAtMs + RUN_MS, () => {
      running.delete(tracked);
      tracked.release('served');
    });
    if (load.burstSize === 0 || prefix.startsWith('burst')) delays.push(firstAtMs - nowMs);
  }
  return {
    onTime: delays.filter((delayMs) => delayMs <= LATENCY_TARGET_MS).length / delays.length,
    meanMs: delays.reduce((sum, delayMs) => sum + delayMs, 0) / delays.length,
  };
}
