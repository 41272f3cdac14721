import { addHeldTokens } from '../../../decisions/concurrency/addHeldTokens/index.js';
import type { ConcurrencyLimit, LearnedLimit } from '../../../decisions/concurrency/types.js';
import {
  buildFirstLimit,
  SUFFICIENT_STREAMS,
  updateConcurrencyLimit,
} from '../../../decisions/concurrency/updateConcurrencyLimit/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { BackendServer, EnginePool } from '../../../ports/serving.js';
import {
  decodeHeldTokens,
  encodeConcurrencyLimits,
  type SentConcurrencyView,
} from '../../concurrencyMessages.js';
import type { FleetReport, FleetView } from '../../fleetMessages.js';

/** Learns the limits of all servers from the reports of all hosts. */
export interface ConcurrencyMeter {
  record: (report: Pick<FleetReport, 'concurrency'>) => void;
  /** Computes the figures for the views of one round, and the limits from time to time. */
  update: (
    reports: readonly Pick<FleetReport, 'host' | 'concurrency'>[],
    loads: FleetView['loads'],
    servers: ReadonlyMap<string, Pick<BackendServer, 'service' | 'slots'>>,
  ) => void;
  /** Returns the figures for a host's view; undefined where limits are off. */
  takeView: (host: string) => SentConcurrencyView | undefined;
}

/** Options of the meter of a leader. */
export interface ConcurrencyMeterOptions {
  clock: Clock;
  /** Share of late streams above which limits are lowered; 0 for no limits. */
  lateShare: number;
  /** Limits as this host knew them from the previous leader. */
  knownLimits: ReadonlyMap<string, ConcurrencyLimit>;
  findPool: (service: string) => EnginePool | undefined;
}

interface Observed {
  limit: LearnedLimit;
  streams: number;
  lateStreams: number;
  active: number;
  heldTokens: number;
  /** Since when this was observed. */
  sinceMs: number;
}

const UPDATE_INTERVAL_MS = 1000;
const MAX_OBSERVATION_MS = 10_000; // older streams tell nothing of the present load

const EMPTY_OBSERVATION = { streams: 0, lateStreams: 0, active: 0, heldTokens: 0 };

/** Creates the meter of a new leader. */
export function createConcurrencyMeter(options: ConcurrencyMeterOptions): ConcurrencyMeter {
  const { clock, lateShare, knownLimits, findPool } = options;
  const observed = new Map<string, Observed>();
  let updatedAtMs = -Infinity;
  let updateNumber = 0;
  const sentNumbers = new Map<string, number>();
  let limits: SentConcurrencyView['limits'];
  let held: Record<string, number> = {};
  let heldByHost = new Map<string, Record<string, number>>();

  const findObserved = (
    id: string,
    { slots, service }: Pick<BackendServer, 'service' | 'slots'>,
  ): Observed => {
    const limit = buildFirstLimit(slots, findPool(service)?.memoryTokens ?? 0);
    const known = observed.get(id);
    if (known !== undefined) {
      // The server may have registered again, or a new configuration be in force.
      const { requests, tokens } = known.limit;
      known.limit.requests = Math.min(limit.requests, requests);
      known.limit.tokens = Math.min(limit.tokens, tokens);
      return known;
    }
    const added = {
      ...EMPTY_OBSERVATION,
      limit: { ...limit, ...knownLimits.get(id) },
      sinceMs: clock.monotonicMs(),
    };
    observed.set(id, added);
    return added;
  };

  const updateHeld = (reports: readonly Pick<FleetReport, 'host' | 'concurrency'>[]): void => {
    const byServer = new Map<string, ReturnType<typeof decodeHeldTokens>[]>();
    heldByHost = new Map();
    for (const { host, concurrency } of reports) {
      const own: Record<string, number> = {};
      for (const [server, sent] of Object.entries(concurrency?.held ?? {})) {
        const item = decodeHeldTokens(sent);
        own[server] = item.ownTokens;
        byServer.set(server, [...(byServer.get(server) ?? []), item]);
      }
      heldByHost.set(host, own);
    }
    held = Object.fromEntries([...byServer].map(([id, items]) => [id, addHeldTokens(items)]));
  };

  const learnLimit = (
    item: Observed,
    { slots, service }: Pick<BackendServer, 'service' | 'slots'>,
  ): void => {
    const nowMs = clock.monotonicMs();
    const memoryTokens = findPool(service)?.memoryTokens ?? 0;
    const isSufficient = item.streams >= SUFFICIENT_STREAMS;
    item.limit = updateConcurrencyLimit(
      item.limit,
      { ...item, slots, memoryTokens, nowMs },
      lateShare,
    );
    if (isSufficient || nowMs - item.sinceMs > MAX_OBSERVATION_MS)
      Object.assign(item, EMPTY_OBSERVATION, { sinceMs: nowMs });
  };

  return {
    record: ({ concurrency }) => {
      for (const [server, [streams, late]] of Object.entries(concurrency?.streams ?? {})) {
        const item = observed.get(server);
        if (item === undefined) continue;
        item.streams += streams;
        item.lateStreams += late;
      }
    },
    update: (reports, loads, servers) => {
      if (lateShare === 0) return;
      updateHeld(reports);
      for (const id of observed.keys()) if (!servers.has(id)) observed.delete(id);
      const engines = [...servers].filter(([, { service }]) => findPool(service) !== undefined);
      for (const [id, server] of engines) {
        const item = findObserved(id, server);
        item.active = Math.max(item.active, loads[id]?.[0] ?? 0);
        item.heldTokens = Math.max(item.heldTokens, held[id] ?? 0);
      }
      if (clock.monotonicMs() - updatedAtMs < UPDATE_INTERVAL_MS) return;
      updatedAtMs = clock.monotonicMs();
      updateNumber += 1;
      for (const [id, server] of engines) learnLimit(findObserved(id, server), server);
      limits = encodeConcurrencyLimits(
        new Map([...observed].map(([id, { limit }]) => [id, limit])),
      );
    },
    takeView: (host) => {
      if (lateShare === 0) return undefined;
      const isNew = sentNumbers.get(host) !== updateNumber;
      sentNumbers.set(host, updateNumber);
      return { limits: isNew ? limits : undefined, held, ownHeld: heldByHost.get(host) ?? {} };
    },
  };
}
