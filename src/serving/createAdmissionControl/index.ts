import { compareClasses } from '../../decisions/admission/computeClassShares/index.js';
import { computeAdmissionRetryMs } from '../../decisions/admission/computeAdmissionRetryMs/index.js';
import { applyLevelAge } from '../../decisions/admission/applyLevelAge/index.js';
import { findAdmissionShare } from '../../decisions/admission/findAdmissionShare/index.js';
import type { AdmissionLevel } from '../../decisions/admission/types.js';
import type { Clock } from '../../ports/clock.js';
import {
  decodeAdmissionLevel,
  type SentAdmissionLevels,
  type SentAdmissionSamples,
} from '../admissionMessages.js';
import type { LoadOptions } from '../loadOptions.js';
import type { ServingMetrics } from '../createServingMetrics/index.js';
import { createDemandSamples, type DemandedRequest } from './_lib/createDemandSamples.js';

export type { DemandedRequest } from './_lib/createDemandSamples.js';

/** A refusal by the level of a service, with what decided it. */
export interface LevelRefusal {
  retryAfterMs: number;
  /** `class` or `organisation`. */
  refusedBy: string;
  /** Priority and target of the class, as `PRIORITY/MS`. */
  requestClass: string;
  refusedShare: number;
  admittedShare: number;
  levelAgeMs: number;
}

/** Level of a service as this host has it, and what the organisations usually ask for. */
export interface KeptLevel {
  level: AdmissionLevel;
  /** When a leader computed it, in monotonic milliseconds of this host. */
  computedAtMs: number;
  usual: Readonly<Record<string, number>>;
}

/** Admission levels of the services: what this host reports for them, and how it follows them. */
export interface AdmissionControl {
  /** Records a request that has arrived, whether it is admitted or not. */
  recordRequest: (request: DemandedRequest) => void;
  /** Records the end of a stream. */
  recordStream: (service: string, isLate: boolean) => void;
  /** Returns what was recorded since the last call. */
  takeSamples: () => SentAdmissionSamples;
  /** Sets the levels of a view; those of an older leader, which has none, are kept. */
  setLevels: (sent: SentAdmissionLevels | undefined) => void;
  /** Levels by service as they were last received. */
  getKeptLevels: () => ReadonlyMap<string, KeptLevel>;
  /** Level of a service at this moment; undefined without one. */
  findLevel: (service: string) => AdmissionLevel | undefined;
  /** Decides on a request; undefined when it is admitted. */
  decide: (request: DemandedRequest, remainingMs: number) => LevelRefusal | undefined;
}

/** Options of the admission control. */
export interface AdmissionControlOptions {
  clock: Clock;
  random: () => number;
  load: Pick<LoadOptions, 'maximumRefusedShare'>;
  metrics?: Pick<ServingMetrics, 'observeLevels'>;
}

/** Creates the admission control of a host; without a highest share that may be refused it does nothing. */
export function createAdmissionControl(options: AdmissionControlOptions): AdmissionControl {
  const { clock, random, metrics } = options;
  const isEnabled = options.load.maximumRefusedShare > 0;
  const samples = createDemandSamples();
  const kept = new Map<string, KeptLevel>();

  const findLevel = (service: string): AdmissionLevel | undefined => {
    const found = kept.get(service);
    return found && applyLevelAge(found.level, clock.monotonicMs() - found.computedAtMs);
  };
  if (isEnabled)
    metrics?.observeLevels(
      () => new Map([...kept.keys()].map((name) => [name, findLevel(name)?.refusedShare ?? 0])),
    );

  return {
    recordRequest: (request) => {
      if (!isEnabled) return;
      const largeTokens = kept.get(request.service)?.level.largeTokens ?? Infinity;
      samples.recordRequest(request, request.tokens >= largeTokens);
    },
    recordStream: (service, isLate) => {
      if (isEnabled) samples.recordStream(service, isLate);
    },
    takeSamples: samples.take,
    setLevels: (sent) => {
      if (!isEnabled || sent === undefined) return;
      const nowMs = clock.monotonicMs();
      for (const name of kept.keys()) if (sent[name] === undefined) kept.delete(name);
      for (const [name, item] of Object.entries(sent))
        kept.set(name, {
          level: decodeAdmissionLevel(item),
          computedAtMs: nowMs - item.ageMs,
          usual: item.usual ?? kept.get(name)?.usual ?? {},
        });
    },
    getKeptLevels: () => kept,
    findLevel,
    decide: (request, remainingMs) => {
      const level = findLevel(request.service);
      if (level === undefined || level.refusedShare <= 0) return undefined;
      const { share, reason } = findAdmissionShare(level, request);
      if (random() < share) return undefined;
      const { service, priority, targetMs } = request;
      const { classes } = level;
      const computedAtMs = kept.get(service)?.computedAtMs ?? 0;
      return {
        retryAfterMs: computeAdmissionRetryMs({
          capacityInMs: level.capacityInMs,
          rank: classes.filter((item) => compareClasses(item, request) < 0).length,
          classCount: classes.length + 1,
          remainingMs,
          random: random(),
        }),
        refusedBy: reason,
        requestClass: `${priority}/${targetMs}`,
        refusedShare: level.refusedShare,
        admittedShare: share,
        levelAgeMs: Math.round(clock.monotonicMs() - computedAtMs),
      };
    },
  };
}
