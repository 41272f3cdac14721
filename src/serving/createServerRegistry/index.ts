import type { ServerCandidate, SharedPromptPart } from '../../decisions/serving/types.js';
import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import {
  createPrefixCacheEstimate,
  type PrefixCacheEstimate,
} from './_lib/createPrefixCacheEstimate.js';
import {
  computeFailureShare,
  createServerHealth,
  isSilent,
  recordFirstByteDelay,
  recordOutcome,
  type ServerOutcome,
  type ServerHealth,
} from './_lib/health.js';

/** Load of one server as one host, or all of them, have put it there. */
export interface ServerLoad {
  active: number;
  backlogTokens: number;
  reservedTokens: number;
  /** Backlog of the urgent requests alone. */
  urgentBacklogTokens: number;
}

/** What a request puts on a server. */
export interface RequestLoad {
  backlogTokens: number;
  reservedTokens: number;
  /** Whether it goes before those that are not urgent. */
  isUrgent: boolean;
  /** Milliseconds until the first bytes, as estimated. */
  delayMs: number;
  /** Parts of the prompt that the server has read once the answer begins. */
  sharedParts: readonly SharedPromptPart[];
}

/** A request's place on a server; each step is to be told once. */
export interface TrackedRequest {
  /** Any bytes of an answer arrived. */
  recordBytes: () => void;
  /** The first bytes of the answer arrived. */
  recordFirstBytes: () => void;
  /** The request has left the server. */
  release: (outcome: ServerOutcome) => void;
}

export { ServerOutcome } from './_lib/health.js';

/** What the servers are known to be, to hold and to bear. */
export interface ServerRegistry {
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  setConfiguration: (configuration: ServingConfiguration) => void;
  /** Takes the loads of the other hosts, and what the leader knows of the engines. */
  setRemoteLoads: (loads: ReadonlyMap<string, ServerLoad>) => void;
  /** Adapters of the engines that changed, as `MODEL/ADAPTER`. */
  updateAdapters: (changed: ReadonlyMap<string, ReadonlySet<string>>) => void;
  /** Nobody tells adapters any more: what the engines last said counts. */
  clearAdapters: () => void;
  /** Models that are about to leave an engine, as `SERVER/MODEL`. */
  setLeavingModels: (leaving: ReadonlySet<string>) => void;
  setSuspects: (servers: ReadonlySet<string>) => void;
  findServer: (id: string) => BackendServer | undefined;
  listCandidates: (options: ListCandidatesOptions) => ServerCandidate[];
  /** Corrects what is known of an engine until the leader or the engine says more. */
  recordAdapterState: (id: string, model: string, adapter: string, isThere: boolean) => void;
  recordMissingModel: (id: string, model: string) => void;
  trackRequest: (id: string, weight: RequestLoad) => TrackedRequest;
  getOwnLoads: () => Map<string, ServerLoad>;
  /** Servers that have been silent though they owe answers. */
  listSilent: () => string[];
}

/** Which servers are asked for. */
export interface ListCandidatesOptions {
  service: string;
  model?: string;
  adapter?: string;
  excluded?: ReadonlySet<string>;
  sharedParts?: readonly SharedPromptPart[];
}

const MISSING_MODEL_MS = 1500; // a report of the engine is newer by then
const CORRECTION_MS = 2000; // an engine has said anew what it holds by then
/** A server with what this host knows of it. */
interface Entry {
  server: BackendServer;
  load: ServerLoad;
  others: ServerLoad;
  health: ServerHealth;
  /** Adapters that differ from what the leader last said, until they are known anew. */
  corrections: Map<string, { isThere: boolean; untilMs: number }>;
  missingModels: Map<string, number>;
  prompts: PrefixCacheEstimate;
}

const NO_LOAD: ServerLoad = {
  active: 0,
  backlogTokens: 0,
  reservedTokens: 0,
  urgentBacklogTokens: 0,
};

/** Creates the book of servers of this host. */
export function createServerRegistry(options: {
  clock: Clock;
  log: Log;
  dataCentre: string;
}): ServerRegistry {
  const { clock, log, dataCentre } = options;
  const entries = new Map<string, Entry>();
  let others: ReadonlyMap<string, ServerLoad> = new Map();
  let configuration: ServingConfiguration | undefined;
  const adaptersByServer = new Map<string, ReadonlySet<string>>();
  let leavingModels: ReadonlySet<string> = new Set();
  let suspects: ReadonlySet<string> = new Set();

  const createEntry = (server: BackendServer): Entry => ({
    server,
    load: { ...NO_LOAD },
    others: others.get(server.id) ?? NO_LOAD,
    health: createServerHealth(clock.monotonicMs()),
    corrections: new Map(),
    missingModels: new Map(),
    prompts: createPrefixCacheEstimate(),
  });

  const holdsModel = (entry: Entry, model: string, nowMs: number): boolean => {
    if ((entry.missingModels.get(model) ?? -Infinity) > nowMs) return false;
    if (leavingModels.has(`${entry.server.id}/${model}`)) return false;
    return entry.server.models.some(({ name }) => name === model);
  };

  const holdsAdapter = (entry: Entry, model: string, adapter: string): boolean => {
    const name = `${model}/${adapter}`;
    const corrected = entry.corrections.get(name);
    if (corrected !== undefined && corrected.untilMs > clock.monotonicMs())
      return corrected.isThere;
    const known = adaptersByServer.get(entry.server.id);
    if (known !== undefined) return known.has(name);
    return entry.server.models.some(
      (held) => held.name === model && held.adapters.includes(adapter),
    );
  };

  const toCandidate = (
    entry: Entry,
    request: ListCandidatesOptions,
    nowMs: number,
  ): ServerCandidate => {
    const { server, load } = entry;
    const engines = configuration?.services.get(server.service)?.engines;
    return {
      id: server.id,
      active: load.active + entry.others.active,
      slots: server.slots,
      backlogTokens: load.backlogTokens + entry.others.backlogTokens,
      urgentBacklogTokens: load.urgentBacklogTokens + entry.others.urgentBacklogTokens,
      reservedTokens: load.reservedTokens + entry.others.reservedTokens,
      memoryTokens: engines?.memoryTokens ?? 0,
      holdsAdapter:
        request.model === undefined ||
        request.adapter === undefined ||
        holdsAdapter(entry, request.model, request.adapter),
      cachedTokens: entry.prompts.countCachedTokens(request.sharedParts ?? [], nowMs),
      isInLocalDataCentre: server.dataCentre === dataCentre,
      failureRate: computeFailureShare(entry.health, nowMs),
      serviceTimeMs: entry.health.serviceTimeMs,
      latencyRatio: entry.health.latencyRatio,
    };
  };

  const logAvoided = ({ server, health }: Entry, nowMs: number): void =>
    log.warn(
      {
        server: server.id,
        streak: health.streak,
        avoidMs: Math.round(health.avoidUntilMs - nowMs),
      },
      'server not reached, avoided',
    );

  return {
    setServers: (servers) => {
      for (const id of entries.keys()) if (!servers.has(id)) entries.delete(id);
      for (const [id, server] of servers) {
        const entry = entries.get(id);
        if (entry?.server.incarnation !== server.incarnation) entries.set(id, createEntry(server));
        else entry.server = server;
      }
    },
    setConfiguration: (next) => {
      configuration = next;
    },
    setRemoteLoads: (loads) => {
      others = loads;
      for (const [id, entry] of entries) entry.others = loads.get(id) ?? NO_LOAD;
    },
    updateAdapters: (changed) => {
      for (const [id, adapters] of changed) {
        adaptersByServer.set(id, adapters);
        entries.get(id)?.corrections.clear();
      }
    },
    clearAdapters: () => {
      adaptersByServer.clear();
    },
    setLeavingModels: (leaving) => {
      leavingModels = leaving;
    },
    setSuspects: (servers) => {
      suspects = servers;
    },
    findServer: (id) => entries.get(id)?.server,
    listCandidates: (request) => {
      const nowMs = clock.monotonicMs();
      const { service, model, excluded } = request;
      const fit = [...entries.values()].filter(
        (entry) =>
          entry.server.service === service &&
          !entry.server.isLeaving &&
          excluded?.has(entry.server.id) !== true &&
          (model === undefined || holdsModel(entry, model, nowMs)),
      );
      const sound = fit.filter(
        (entry) =>
          entry.health.avoidUntilMs <= nowMs &&
          !isSilent(entry.health, entry.load.active, nowMs) &&
          !suspects.has(entry.server.id),
      );
      // A server in doubt is still better than none.
      return (sound.length > 0 ? sound : fit).map((entry) => toCandidate(entry, request, nowMs));
    },
    recordAdapterState: (id, model, adapter, isThere) => {
      const untilMs = clock.monotonicMs() + CORRECTION_MS;
      entries.get(id)?.corrections.set(`${model}/${adapter}`, { isThere, untilMs });
    },
    recordMissingModel: (id, model) => {
      entries.get(id)?.missingModels.set(model, clock.monotonicMs() + MISSING_MODEL_MS);
    },
    trackRequest: (id, { backlogTokens, reservedTokens, isUrgent, delayMs, sharedParts }) => {
      const entry = entries.get(id);
      const startedAtMs = clock.monotonicMs();
      if (entry === undefined)
        return {
          recordBytes: () => undefined,
          recordFirstBytes: () => undefined,
          release: () => undefined,
        };
      const { load } = entry;
      if (load.active === 0) entry.health.busySinceMs = startedAtMs;
      load.active += 1;
      load.backlogTokens += backlogTokens;
      if (isUrgent) load.urgentBacklogTokens += backlogTokens;
      load.reservedTokens += reservedTokens;
      let isWaiting = true;
      const endWait = (): void => {
        if (!isWaiting) return;
        isWaiting = false;
        load.backlogTokens -= backlogTokens;
        if (isUrgent) load.urgentBacklogTokens -= backlogTokens;
      };
      return {
        recordBytes: () => {
          entry.health.lastBytesAtMs = clock.monotonicMs();
        },
        recordFirstBytes: () => {
          endWait();
          entry.prompts.record(sharedParts, clock.monotonicMs());
          recordFirstByteDelay(
            entry.health,
            clock.monotonicMs() - startedAtMs,
            delayMs,
            clock.monotonicMs(),
          );
        },
        release: (outcome) => {
          const nowMs = clock.monotonicMs();
          endWait();
          load.active -= 1;
          load.reservedTokens -= reservedTokens;
          const isAvoided = recordOutcome(entry.health, outcome, nowMs - startedAtMs, nowMs);
          if (isAvoided) logAvoided(entry, nowMs);
        },
      };
    },
    getOwnLoads: () =>
      new Map(
        [...entries].filter(([, { load }]) => load.active > 0).map(([id, { load }]) => [id, load]),
      ),
    listSilent: () => {
      const nowMs = clock.monotonicMs();
      return [...entries.values()]
        .filter(({ health, load }) => isSilent(health, load.active, nowMs))
        .map(({ server }) => server.id);
    },
  };
}
