import { DEFAULT_HOST_COUNT } from '../../decisions/serving/computeLocalRateShare/index.js';
import type { ServerCandidate } from '../../decisions/serving/types.js';
import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import type { ServerPaces } from '../createServerPaces/index.js';
import { hashPart, hashParts } from '../../decisions/prefixCache/hashPart/index.js';
import { createPrefixUses } from '../createPrefixUses/index.js';
import {
  countCachedTokens,
  createEntry,
  NO_LOAD,
  recordCacheLoad,
  type Entry,
  type PrefixCacheOptions,
} from './_lib/entry.js';
import { computeFailureRate, isSilent, isUnreachable } from './_lib/serverHealth.js';
import { addTrackedRequest } from './_lib/addTrackedRequest.js';
import type { BoundVersion, ListCandidatesOptions, ServerLoad, ServerRegistry } from './types.js';

export { ServerOutcome } from './_lib/serverHealth.js';
export type * from './types.js';

const MISSING_MODEL_EXPIRY_MS = 1500; // a newer report of the engine has arrived by then
const OVERRIDE_EXPIRY_MS = 2000; // the engine has reported its adapters again by then

function isOfVersion({ softwareVersion }: BackendServer, bound: BoundVersion | undefined): boolean {
  if (bound === undefined) return true;
  return softwareVersion !== undefined && softwareVersion === bound.softwareVersion;
}

/** Creates the server registry of this host. */
export function createServerRegistry(options: {
  clock: Clock;
  log: Log;
  dataCentre: string;
  /** Milliseconds until a server wants another request, by incarnation. */
  getWaitMs: (incarnation: string) => number;
  /** Whether nothing may be sent to the servers of a data centre; never by default. */
  isEvacuated?: (dataCentre: string) => boolean;
  /** Milliseconds until this host counts a server as warm, by incarnation; 0 by default. */
  getColdMs?: (incarnation: string) => number;
  paces: Pick<ServerPaces, 'recordFirstByteDelay' | 'getSlowShare' | 'getLatencyRatio'>;
  /** How prefix caches are estimated; as without the settings for it by default. */
  prefixes?: PrefixCacheOptions;
}): ServerRegistry {
  const { clock, log, dataCentre, getWaitMs, paces } = options;
  const { isEvacuated = () => false, getColdMs = () => 0, prefixes = {} } = options;
  const prefixUses = createPrefixUses({ clock, maximumReported: prefixes.prefixReports });
  const entries = new Map<string, Entry>();
  let remoteLoads: ReadonlyMap<string, ServerLoad> = new Map();
  let hostCount = DEFAULT_HOST_COUNT;
  let configuration: ServingConfiguration | undefined;
  const adaptersByServer = new Map<string, ReadonlySet<string>>();
  let unloadingModels: ReadonlySet<string> = new Set();
  let suspects: ReadonlySet<string> = new Set();

  const holdsModel = (entry: Entry, model: string, nowMs: number): boolean => {
    if ((entry.missingModels.get(model) ?? -Infinity) > nowMs) return false;
    if (unloadingModels.has(`${entry.server.id}/${model}`)) return false;
    return entry.server.models.some(({ name }) => name === model);
  };

  const holdsAdapter = (entry: Entry, model: string, adapter: string): boolean => {
    const name = `${model}/${adapter}`;
    const override = entry.overrides.get(name);
    if (override !== undefined && override.untilMs > clock.monotonicMs()) return override.isLoaded;
    const leaderAdapters = adaptersByServer.get(entry.server.id);
    if (leaderAdapters !== undefined) return leaderAdapters.has(name);
    return entry.server.models.some(
      (resident) => resident.name === model && resident.adapters.includes(adapter),
    );
  };

  const findLatencyRatio = ({ server, health }: Entry): number =>
    paces.getLatencyRatio(server.id, health.latencyRatio, health.measuredResponses);

  const toCandidate = (
    entry: Entry,
    query: ListCandidatesOptions,
    nowMs: number,
  ): ServerCandidate => {
    const { server, load } = entry;
    const engines = configuration?.services.get(server.service)?.engines;
    const latencyRatio = findLatencyRatio(entry);
    return {
      id: server.id,
      active: load.active + entry.remoteLoad.active,
      slots: server.slots,
      backlogTokens: load.backlogTokens + entry.remoteLoad.backlogTokens,
      urgentBacklogTokens: load.urgentBacklogTokens + entry.remoteLoad.urgentBacklogTokens,
      reservedTokens: load.reservedTokens + entry.remoteLoad.reservedTokens,
      memoryTokens: engines?.memoryTokens ?? 0,
      holdsAdapter:
        query.model === undefined ||
        query.adapter === undefined ||
        holdsAdapter(entry, query.model, query.adapter),
      cachedTokens: countCachedTokens(entry, query, {
        nowMs,
        memoryTokens: engines?.memoryTokens ?? 0,
        latencyRatio,
        ...prefixes,
      }),
      isInLocalDataCentre: server.dataCentre === dataCentre,
      failureRate: computeFailureRate(entry.health, nowMs),
      serviceTimeMs: entry.health.serviceTimeMs,
      latencyRatio,
      slowShare: paces.getSlowShare(server.id),
      waitMs: getWaitMs(server.incarnation),
      coldMs: getColdMs(server.incarnation),
    };
  };

  const logBackoff = ({ server, health }: Entry, nowMs: number): void =>
    log.warn(
      {
        server: server.id,
        streak: health.streak,
        avoidMs: Math.round(health.avoidUntilMs - nowMs),
      },
      'server unreachable, backing off',
    );

  return {
    setServers: (servers) => {
      for (const id of entries.keys()) if (!servers.has(id)) entries.delete(id);
      for (const [id, server] of servers) {
        const entry = entries.get(id);
        if (entry?.server.incarnation === server.incarnation) {
          entry.server = server;
          continue;
        }
        // A restarted engine holds nothing of what was known of its previous process.
        if (entry !== undefined) adaptersByServer.delete(id);
        const remoteLoad = remoteLoads.get(id) ?? NO_LOAD;
        entries.set(id, createEntry(server, { remoteLoad, nowMs: clock.monotonicMs(), prefixes }));
      }
    },
    setConfiguration: (next) => {
      configuration = next;
    },
    setRemoteLoads: (loads) => {
      remoteLoads = loads;
      const nowMs = clock.monotonicMs();
      for (const [id, entry] of entries) {
        entry.remoteLoad = loads.get(id) ?? NO_LOAD;
        recordCacheLoad(entry, findLatencyRatio(entry), nowMs);
      }
    },
    recordRemoteUses: (uses) => {
      const nowMs = clock.monotonicMs();
      for (const [id, hashes] of Object.entries(uses)) {
        prefixUses.recordRemote(hashes);
        entries.get(id)?.agedCache?.recordUses(hashes, nowMs);
      }
    },
    takePrefixUses: () => prefixUses.takeOwn(),
    getPrefixRate: (key) => prefixUses.getRate(hashPart(key)),
    getUsesAgeMs: () => prefixUses.getRemoteAgeMs(),
    setHostCount: (count) => {
      hostCount = count;
    },
    getHostCount: () => hostCount,
    updateAdapters: (changed) => {
      for (const [id, adapters] of changed) {
        adaptersByServer.set(id, adapters);
        entries.get(id)?.overrides.clear();
      }
    },
    clearAdapters: () => {
      adaptersByServer.clear();
    },
    setUnloadingModels: (models) => {
      unloadingModels = models;
    },
    setSuspects: (servers) => {
      suspects = servers;
    },
    findServer: (id) => entries.get(id)?.server,
    listCandidates: (query) => {
      const nowMs = clock.monotonicMs();
      const { service, model, excluded } = query;
      const eligible = [...entries.values()].filter(
        (entry) =>
          entry.server.service === service &&
          !entry.server.isLeaving &&
          !isEvacuated(entry.server.dataCentre) &&
          excluded?.has(entry.server.id) !== true &&
          isOfVersion(entry.server, query.boundVersion) &&
          (model === undefined || holdsModel(entry, model, nowMs)),
      );
      const healthy = eligible.filter(
        (entry) =>
          entry.health.avoidUntilMs <= nowMs &&
          !isSilent(entry.health, entry.load.active, nowMs) &&
          !suspects.has(entry.server.id),
      );
      // An unhealthy server is still better than none.
      return (healthy.length > 0 ? healthy : eligible).map((entry) =>
        toCandidate(entry, query, nowMs),
      );
    },
    listEvacuated: ({ service, model }) => {
      const skipped = new Set<string>();
      for (const { server } of entries.values())
        if (
          server.service === service &&
          isEvacuated(server.dataCentre) &&
          (model === undefined || server.models.some(({ name }) => name === model))
        )
          skipped.add(server.dataCentre);
      return [...skipped];
    },
    countRunning: (wanted) =>
      [...entries.values()]
        .filter(({ server }) => server.dataCentre === wanted)
        .reduce((sum, { load }) => sum + load.active, 0),
    recordAdapterState: (id, model, adapter, isLoaded) => {
      const untilMs = clock.monotonicMs() + OVERRIDE_EXPIRY_MS;
      entries.get(id)?.overrides.set(`${model}/${adapter}`, { isLoaded, untilMs });
    },
    recordMissingModel: (id, model) => {
      entries.get(id)?.missingModels.set(model, clock.monotonicMs() + MISSING_MODEL_EXPIRY_MS);
    },
    trackRequest: (id, request) => {
      const entry = entries.get(id);
      if (entry === undefined)
        return {
          recordBytes: () => undefined,
          recordFirstBytes: () => undefined,
          release: () => undefined,
        };
      if (entry.agedCache !== undefined) prefixUses.recordOwn(id, hashParts(request.sharedParts));
      return addTrackedRequest(entry, request, {
        clock,
        paces,
        isCold: getColdMs(entry.server.incarnation) > 0,
        latencyRatio: findLatencyRatio(entry),
        onBackoff: (nowMs) => logBackoff(entry, nowMs),
      });
    },
    getOwnLoads: () =>
      new Map(
        [...entries].filter(([, { load }]) => load.active > 0).map(([id, { load }]) => [id, load]),
      ),
    isServerSilent: (id) => {
      const entry = entries.get(id);
      return entry !== undefined && isSilent(entry.health, entry.load.active, clock.monotonicMs());
    },
    listUnreachable: () => {
      const nowMs = clock.monotonicMs();
      return [...entries.values()]
        .filter(({ health }) => isUnreachable(health, nowMs))
        .map(({ server }) => server.id);
    },
    listSilent: () => {
      const nowMs = clock.monotonicMs();
      return [...entries.values()]
        .filter(({ health, load }) => isSilent(health, load.active, nowMs))
        .map(({ server }) => server.id);
    },
  };
}
