import { applyLevelAge } from '../../../decisions/admission/applyLevelAge/index.js';
import type { EngineLoad } from '../../../decisions/admission/types.js';
import type { Clock } from '../../../ports/clock.js';
import type { BackendServer, ServingConfiguration } from '../../../ports/serving.js';
import {
  encodeAdmissionLevel,
  type SentAdmissionLevels,
  type SentAdmissionSamples,
} from '../../admissionMessages.js';
import type { KeptLevel } from '../../createAdmissionControl/index.js';
import type { Evacuations } from '../../createEvacuations/index.js';
import type { FleetView } from '../../fleetMessages.js';
import type { LoadOptions } from '../../loadOptions.js';
import {
  createServiceAdmission,
  type ServiceAdmission,
  type ServiceTargets,
} from './createServiceAdmission.js';

/** Admission levels of all services, from the reports of all hosts. */
export interface AdmissionLevels {
  setConfiguration: (configuration: ServingConfiguration) => void;
  record: (samples: SentAdmissionSamples) => void;
  /** Computes the levels for the views of one round; undefined where they are off. */
  update: (
    servers: ReadonlyMap<string, BackendServer>,
    loads: FleetView['loads'],
  ) => SentAdmissionLevels | undefined;
}

/** Options of the levels of a new leader. */
export interface AdmissionLevelsOptions {
  clock: Clock;
  load: Pick<LoadOptions, 'maximumRefusedShare' | 'fairWeight'>;
  /** Levels of the last view of the previous leader. */
  keptLevels: ReadonlyMap<string, KeptLevel>;
  evacuations: Pick<Evacuations, 'isEvacuated'>;
}

const USUAL_INTERVAL_MS = 5000; // what is usual changes within a minute
const MAX_SENT_USUAL = 128;

/** Finds the shortest latency targets of the routes of a service that declare a longest pause. */
function findTargets({ routes }: ServingConfiguration, service: string): ServiceTargets {
  const isOfService = routes.filter(
    ({ shares, pauseTargetMs }) =>
      pauseTargetMs !== undefined && shares.some((share) => share.service === service),
  );
  const findShortest = (isUrgent: boolean): number =>
    Math.min(
      Infinity,
      ...isOfService
        .filter(({ priority }) => (priority === 0) === isUrgent)
        .map(({ latencyTargetMs }) => latencyTargetMs),
    );
  return { urgentTargetMs: findShortest(true), targetMs: findShortest(false) };
}

/** Creates the levels of a new leader. */
export function createAdmissionLevels(options: AdmissionLevelsOptions): AdmissionLevels {
  const { clock, load, keptLevels } = options;
  const isEnabled = load.maximumRefusedShare > 0;
  const services = new Map<
    string,
    { admission: ServiceAdmission; targets: ServiceTargets; memoryTokens: number }
  >();
  let updatedAtMs = clock.monotonicMs();
  let usualSentAtMs = -Infinity;

  const createAdmission = (service: string): ServiceAdmission => {
    const kept = keptLevels.get(service);
    if (kept === undefined) return createServiceAdmission({ load });
    const level = applyLevelAge(kept.level, clock.monotonicMs() - kept.computedAtMs);
    return createServiceAdmission({ load, level, usual: kept.usual });
  };

  const listEngines = (
    service: string,
    memoryTokens: number,
    servers: ReadonlyMap<string, BackendServer>,
    loads: FleetView['loads'],
  ): EngineLoad[] =>
    [...servers.values()]
      .filter(
        (server) =>
          server.service === service &&
          !server.isLeaving &&
          !options.evacuations.isEvacuated(server.dataCentre),
      )
      .map(({ id, slots }) => {
        const [active, backlogTokens, reservedTokens, urgentBacklogTokens] = loads[id] ?? [
          0, 0, 0, 0,
        ];
        return { active, slots, backlogTokens, reservedTokens, urgentBacklogTokens, memoryTokens };
      });

  return {
    setConfiguration: (configuration) => {
      if (!isEnabled) return;
      for (const name of services.keys())
        if (!configuration.services.has(name)) services.delete(name);
      for (const { name, engines } of configuration.services.values()) {
        const targets = findTargets(configuration, name);
        const isLimited = Math.min(targets.urgentTargetMs, targets.targetMs) < Infinity;
        if (engines === undefined || !isLimited) {
          services.delete(name);
          continue;
        }
        const admission = services.get(name)?.admission ?? createAdmission(name);
        services.set(name, { admission, targets, memoryTokens: engines.memoryTokens });
      }
    },
    record: (samples) => {
      for (const [name, sample] of Object.entries(samples))
        services.get(name)?.admission.record(sample);
    },
    update: (servers, loads) => {
      if (!isEnabled) return undefined;
      const nowMs = clock.monotonicMs();
      const elapsedMs = nowMs - updatedAtMs;
      updatedAtMs = nowMs;
      const isUsualDue = nowMs - usualSentAtMs >= USUAL_INTERVAL_MS;
      if (isUsualDue) usualSentAtMs = nowMs;
      return Object.fromEntries(
        [...services].map(([name, { admission, targets, memoryTokens }]) => {
          admission.update(listEngines(name, memoryTokens, servers, loads), targets, elapsedMs);
          const sent = encodeAdmissionLevel(admission.getLevel(), 0);
          if (!isUsualDue) return [name, sent];
          const usual = [...admission.listUsual()]
            .sort(([, one], [, other]) => other - one)
            .slice(0, MAX_SENT_USUAL)
            .map(([organisation, work]) => [organisation, Math.round(work)] as const);
          return [name, { ...sent, usual: Object.fromEntries(usual) }];
        }),
      );
    },
  };
}
