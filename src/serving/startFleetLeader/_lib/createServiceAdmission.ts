import { computeCapacityMs } from '../../../decisions/admission/computeAdmissionRetryMs/index.js';
import { computeAdmissionShares } from '../../../decisions/admission/computeAdmissionShares/index.js';
import { computeAllowances } from '../../../decisions/admission/computeAllowances/index.js';
import { computeLargeTokens } from '../../../decisions/admission/computeLargeTokens/index.js';
import { computeRefusedShare } from '../../../decisions/admission/computeRefusedShare/index.js';
import {
  computeExcessBacklogMs,
  computeServicePressure,
} from '../../../decisions/admission/computeServicePressure/index.js';
import type {
  AdmissionDemand,
  AdmissionLevel,
  EngineLoad,
} from '../../../decisions/admission/types.js';
import { updateUsualWork } from '../../../decisions/admission/updateUsualWork/index.js';
import { decodeDemand, type SentAdmissionSamples } from '../../admissionMessages.js';
import type { LoadOptions } from '../../loadOptions.js';

/** Shortest latency targets of a service in milliseconds. */
export interface ServiceTargets {
  urgentTargetMs: number;
  targetMs: number;
}

/** What the leader knows of the admission to one service. */
export interface ServiceAdmission {
  record: (samples: SentAdmissionSamples[string]) => void;
  /** Computes the level anew from the loads of the engines. */
  update: (engines: readonly EngineLoad[], targets: ServiceTargets, elapsedMs: number) => void;
  getLevel: () => AdmissionLevel;
  listUsual: () => ReadonlyMap<string, number>;
}

/** What a new leader takes over from the last view of the previous one. */
export interface ServiceAdmissionOptions {
  load: Pick<LoadOptions, 'maximumRefusedShare' | 'fairWeight'>;
  level?: AdmissionLevel;
  usual?: Readonly<Record<string, number>>;
}

const DEMAND_HALF_LIFE_MS = 1500; // a surge counts within two seconds, and is forgotten as soon
const DEMAND_LIFETIME_S = DEMAND_HALF_LIFE_MS / Math.LN2 / 1000; // sum at a steady rate of one a second
const SIZES_HALF_LIFE_MS = 10_000;
const PRESSURE_HALF_LIFE_MS = 300; // queues vary from round to round
const FALL_HALF_LIFE_MS = 600; // three rounds
const HANDOVER_MS = 1200; // six reports, after which the demand of all hosts is known
const MAX_DEMAND = 4096;
const MAX_ORGANISATIONS = 1024;
const FORGOTTEN_TOKENS = 1;
const LONG_LIVED_MS = 60_000; // a usual that was taken over is not learned from the start again

/** Creates the admission to one service, without anything known of it unless it is taken over. */
export function createServiceAdmission(options: ServiceAdmissionOptions): ServiceAdmission {
  const { maximumRefusedShare, fairWeight } = options.load;
  const demand = new Map<string, AdmissionDemand>();
  const usual = new Map<string, number>(Object.entries(options.usual ?? {}));
  let sizes: number[] = [];
  let streams = 0;
  let lateStreams = 0;
  let pressure = 0;
  let lasting = options.level?.refusedShare ?? 0;
  let excessMs = 0;
  let fallPerSecond = 0;
  let ageMs = 0;
  let observedMs = usual.size > 0 ? LONG_LIVED_MS : 0;
  let level: AdmissionLevel = options.level ?? {
    refusedShare: 0,
    classes: [],
    organisations: [],
    largeTokens: Number.MAX_SAFE_INTEGER,
    largeShare: 1,
    capacityInMs: 0,
  };

  const applyDecay = (elapsedMs: number): void => {
    const factor = 0.5 ** (elapsedMs / DEMAND_HALF_LIFE_MS);
    for (const [key, item] of demand) {
      item.requests *= factor;
      item.largeRequests *= factor;
      item.work *= factor;
      if (item.work < FORGOTTEN_TOKENS) demand.delete(key);
    }
    streams *= factor;
    lateStreams *= factor;
    const sizesFactor = 0.5 ** (elapsedMs / SIZES_HALF_LIFE_MS);
    sizes = sizes.map((requests) => requests * sizesFactor);
  };

  /** Updates what organisations usually ask for; returns their work and what they may ask for. */
  const updateOrganisations = (elapsedMs: number, isOverLevel: boolean, largeTokens: number) => {
    observedMs += elapsedMs;
    const recent = new Map<string, number>();
    for (const { organisation, work } of demand.values())
      recent.set(organisation, (recent.get(organisation) ?? 0) + work / DEMAND_LIFETIME_S);
    for (const name of recent.keys())
      if (!usual.has(name) && usual.size < MAX_ORGANISATIONS) usual.set(name, 0);
    for (const [name, work] of usual) {
      const now = recent.get(name) ?? 0;
      const next = updateUsualWork({
        usual: work,
        recent: now,
        elapsedMs,
        observedMs,
        isOverLevel,
      });
      if (next < FORGOTTEN_TOKENS && now === 0) usual.delete(name);
      else usual.set(name, next);
    }
    const largeWork = Number.isFinite(largeTokens) ? largeTokens / DEMAND_LIFETIME_S : 0;
    return computeAllowances({ recent, usual, refusedShare: level.refusedShare, largeWork });
  };

  return {
    record: (samples) => {
      streams += samples.streams;
      lateStreams += samples.lateStreams;
      for (const [index, requests] of samples.sizes.entries())
        sizes[index] = (sizes[index] ?? 0) + requests;
      for (const item of decodeDemand(samples.demand)) {
        const key = `${item.priority}/${item.targetMs}/${item.organisation}`;
        const known = demand.get(key);
        if (known === undefined) {
          if (demand.size < MAX_DEMAND) demand.set(key, item);
          continue;
        }
        known.requests += item.requests;
        known.largeRequests += item.largeRequests;
        known.work += item.work;
      }
    },
    update: (engines, targets, elapsedMs) => {
      applyDecay(elapsedMs);
      ageMs += elapsedMs;
      const measured = computeServicePressure(engines, {
        ...targets,
        lateShare: lateStreams / Math.max(1, streams),
      });
      pressure += (1 - 0.5 ** (elapsedMs / PRESSURE_HALF_LIFE_MS)) * (measured - pressure);
      const previousExcessMs = excessMs;
      excessMs = computeExcessBacklogMs(engines, targets);
      const weight = 1 - 0.5 ** (elapsedMs / FALL_HALF_LIFE_MS);
      const fall = (1000 * (previousExcessMs - excessMs)) / Math.max(1, elapsedMs);
      fallPerSecond += weight * (fall - fallPerSecond);
      const { refusedShare, lastingShare } = computeRefusedShare({
        previous: { refusedShare: level.refusedShare, lastingShare: lasting },
        pressure,
        elapsedMs,
        maximum: maximumRefusedShare,
      });
      lasting = lastingShare;
      const largeTokens = computeLargeTokens(sizes);
      const isOverLevel = refusedShare > 0;
      const organisations = updateOrganisations(elapsedMs, isOverLevel, largeTokens);
      const capacityInMs = computeCapacityMs({ refusedShare, excessMs, fallPerSecond });
      // The first reports to a new leader hold the demand of a moment only.
      const isKept = options.level !== undefined && ageMs < HANDOVER_MS;
      if (isKept) {
        level = { ...level, refusedShare: Math.max(level.refusedShare, refusedShare) };
        return;
      }
      level = {
        ...computeAdmissionShares([...demand.values()], {
          refusedShare,
          organisations,
          fairWeight,
        }),
        refusedShare,
        largeTokens: Math.min(Number.MAX_SAFE_INTEGER, largeTokens),
        capacityInMs,
      };
    },
    getLevel: () => level,
    listUsual: () => usual,
  };
}
