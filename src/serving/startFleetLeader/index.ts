import { mayPlanMoves } from '../../decisions/replicas/mayPlanMoves/index.js';
import type { BackendServer, EnginePool, ServingConfiguration } from '../../ports/serving.js';
import { createFleetTokenBuckets } from '../createFleetTokenBuckets/index.js';
import { createEngineController, type EngineController } from '../createEngineController/index.js';
import type { FleetReport } from '../fleetMessages.js';
import { createReplicaScheduler } from './_lib/createReplicaScheduler.js';
import { createModelDemandMeter } from './_lib/createModelDemandMeter.js';
import { createPartQuarantine } from '../createPartQuarantine/index.js';
import { createServerFaults } from './_lib/createServerFaults.js';
import {
  collectServerChanges,
  createSentServers,
  type SentServers,
} from './_lib/collectServerChanges.js';
import { createServerLoads } from './_lib/createServerLoads.js';
import { createRequestSchedules } from './_lib/createRequestSchedules.js';
import { createAdmissionLevels } from './_lib/createAdmissionLevels.js';
import { createConcurrencyMeter } from './_lib/createConcurrencyMeter.js';
import { createPaceMeter } from './_lib/createPaceMeter.js';
import { createPrefixRelay } from './_lib/createPrefixRelay.js';
import { createLimitFeed } from './_lib/createLimitFeed.js';
import { addLoads } from './_lib/addLoads.js';
import { syncControllers } from './_lib/syncControllers.js';
import { GRANT_TIMEOUT_MS } from '../types.js';
import type { FleetLeader, FleetLeaderOptions } from './types.js';

export type { FleetLeader, FleetLeaderOptions } from './types.js';

interface HostState {
  report: FleetReport;
  inUse: ReadonlySet<string>;
  /** When the report arrived. */
  atMs: number;
  /** Adapters of each engine as last sent to the host. */
  sentAdapters: Map<string, string>;
  sentServers: SentServers;
}

const PLANNING_INTERVAL_MS = 300; // a few passes within the time of one load
const MAX_REPORT_AGE_MS = 1500; // older reports are left out of the aggregates
// An unreachable host may keep serving until its callers have switched to other hosts.
const UNREACHABLE_HOST_RETENTION_MS = 10_000;

/** Returns whether a report is one that a host has sent before another one, on an earlier connection. */
function isOutdatedReport(report: FleetReport, known: FleetReport): boolean {
  const { number = Infinity } = report;
  return report.incarnation === known.incarnation && number <= (known.number ?? -Infinity);
}

/** Starts to lead the fleet under one fencing token. */
export function startFleetLeader(options: FleetLeaderOptions): FleetLeader {
  const { clock, log, fence } = options;
  const controllers = new Map<string, EngineController>();
  const hosts = new Map<string, HostState>();
  const buckets = createFleetTokenBuckets({ clock, levels: options.levels });
  const demand = createModelDemandMeter(clock.monotonicMs());
  const faults = createServerFaults(clock);
  const requestSchedules = createRequestSchedules({
    clock,
    getRequestLimit: options.serverNotices.getRequestLimit,
    isCold: options.serverNotices.isCold,
  });
  const limitFeed = createLimitFeed({ clock, getLimits: options.serverNotices.getLimits });
  const paces = createPaceMeter(clock);
  const keptLevels = options.admission.getKeptLevels();
  const admissionLevels = createAdmissionLevels({ ...options, keptLevels });
  const prefixRelay = createPrefixRelay();
  const quarantine = createPartQuarantine({ clock, log, saved: options.savedPartGroups });
  let configuration: ServingConfiguration | undefined;
  let servers: ReadonlyMap<string, BackendServer> = new Map();
  /** When the number of servers last increased. */
  let serversAddedAtMs = Infinity;
  /** Stored separately, as the owner of `servers` changes it in place. */
  let serverCount = 0;
  const lastRegisteredAtMs = new Map(options.lastRegisteredAtMs);
  const startedAtMs = clock.monotonicMs();
  let isStopped = false;
  let hasPlanned = false;

  const listCurrentHosts = (): HostState[] => {
    const nowMs = clock.monotonicMs();
    return [...hosts.values()].filter(({ atMs }) => nowMs - atMs < MAX_REPORT_AGE_MS);
  };

  const isInUse = (server: string, adapter: string): boolean =>
    listCurrentHosts().some(({ inUse }) => inUse.has(`${server}/${adapter}`));

  const findPool = (service: string): EnginePool | undefined =>
    configuration?.services.get(service)?.engines;

  const createController = (server: BackendServer, pool: EnginePool): EngineController => {
    const { getPauseMs } = options.serverNotices;
    const { isEvacuated } = options.evacuations;
    return createEngineController({
      ...options,
      holder: options.host,
      isInUse,
      getPauseMs,
      isEvacuated,
      server,
      pool,
    });
  };
  const concurrency = createConcurrencyMeter({
    clock,
    lateShare: options.load.concurrencyLateShare,
    knownLimits: options.concurrency.listLimits(),
    findPool,
  });
  const updateControllers = (): void =>
    syncControllers(controllers, { servers, findPool, createController });

  const serverLoads = createServerLoads(options.load.backlogWeight);
  const replicas = createReplicaScheduler({
    clock,
    log,
    random: options.random,
    fence,
    demand,
    isInUse,
    isUnreachable: faults.isUnreachable,
    measureUtilisation: serverLoads.measureUtilisation,
    measureBacklog: serverLoads.measureBacklog,
    getRequestLimit: options.serverNotices.getRequestLimit,
    getSlowShare: (server) => options.load.paceWeight * paces.findExcessShare(server),
    getColdMs: options.serverNotices.getColdMs,
    // Replicas in an evacuated data centre serve nobody, so that their models are loaded elsewhere.
    listControllers: (service) =>
      [...controllers].filter(([id]) => {
        const server = servers.get(id);
        return server?.service === service && !options.evacuations.isEvacuated(server.dataCentre);
      }),
  });

  const runPlanningPass = async (): Promise<void> => {
    demand.decay(clock.monotonicMs());
    if (configuration === undefined || isStopped) return;
    const sinceAddedMs = clock.monotonicMs() - serversAddedAtMs;
    if (!mayPlanMoves({ sinceAddedMs, hasPlanned }) || !(await options.confirmLeadership())) return;
    hasPlanned = true;
    for (const service of configuration.services.values())
      if (service.engines !== undefined) replicas.startMoves(service.name, service.engines);
  };
  const planningTimer = setInterval(() => {
    if (options.isLeadershipConfirmed()) void quarantine.save(options.writePartGroups);
    runPlanningPass().catch((error: unknown) =>
      log.error({ error: String(error) }, 'replica planning pass failed'),
    );
  }, PLANNING_INTERVAL_MS);

  return {
    setConfiguration: (next) => {
      configuration = next;
      serverLoads.setConfiguration(next);
      admissionLevels.setConfiguration(next);
      buckets.setOrganisations([...(next.organisationsByKey?.values() ?? [])]);
      updateControllers();
    },
    setServers: (next) => {
      if (next.size > serverCount) serversAddedAtMs = clock.monotonicMs();
      serverCount = next.size;
      servers = next;
      updateControllers();
    },
    recordReport: (report) => {
      const previous = hosts.get(report.host);
      if (previous !== undefined && isOutdatedReport(report, previous.report)) return;
      buckets.recordAdmissions(report);
      demand.record(report.demand);
      demand.recordRequests(report.requests);
      quarantine.recordReport(report);
      paces.record(report.paces);
      admissionLevels.record(report.admission ?? {});
      concurrency.record(report);
      prefixRelay.record(report.host, report.prefixUses);
      hosts.set(report.host, {
        report,
        inUse: new Set(report.inUse),
        atMs: clock.monotonicMs(),
        sentAdapters: previous?.sentAdapters ?? new Map<string, string>(),
        sentServers: previous?.sentServers ?? createSentServers(),
      });
    },
    setRegisteredHosts: (registeredHosts) => {
      const nowMs = clock.monotonicMs();
      for (const name of registeredHosts) lastRegisteredAtMs.set(name, nowMs);
      const unreachableHosts = [...lastRegisteredAtMs].flatMap(([name, atMs]) => {
        const lastReportAtMs = Math.max(hosts.get(name)?.atMs ?? -Infinity, startedAtMs);
        const isUnreachable = name !== options.host && nowMs - lastReportAtMs > MAX_REPORT_AGE_MS;
        return isUnreachable &&
          nowMs - Math.max(atMs, lastReportAtMs) < UNREACHABLE_HOST_RETENTION_MS
          ? [name]
          : [];
      });
      buckets.setUnreachableHosts(unreachableHosts, Math.max(1, registeredHosts.length));
    },
    recordAdmissions: buckets.recordAdmissions,
    needsLevelUpdate: buckets.needsLevelUpdate,
    buildLevels: (host) => ({ type: 'levels', ...buckets.computeLevels(host) }),
    markLevelsSent: buckets.markLevelsSent,
    resetSentState: (host) => {
      const state = hosts.get(host);
      state?.sentAdapters.clear();
      if (state !== undefined) state.sentServers = createSentServers();
      limitFeed.resetSent(host);
      paces.resetSent(host);
      quarantine.resetSent(host);
    },
    prepareViews: (hostCount, isCurrent) => {
      const reports = listCurrentHosts().map(({ report }) => report);
      const loads = addLoads(reports);
      serverLoads.setLoads(loads);
      const admission = admissionLevels.update(servers, loads);
      const suspects = faults.updateSuspects(reports);
      const adapters = [...controllers].map(([id, controller]) => {
        const list = controller.listAdapters();
        return { id, list, text: list.join() };
      });
      const leavingModels = [...controllers].flatMap(([id, controller]) =>
        controller.listUnloadingModels().map((model) => `${id}/${model}`),
      );
      const loadingMs = replicas.computeLoadingMs();
      const evacuations = options.evacuations.encode();
      const nowMs = clock.monotonicMs();
      const ageMs = options.listAge.getAgeMs();
      const serversAgeMs = Number.isFinite(ageMs) ? ageMs : undefined;
      limitFeed.update();
      paces.update(servers);
      concurrency.update(reports, loads, servers);
      requestSchedules.setReportingFraction(reports.length / Math.max(1, hostCount));
      quarantine.update();
      const findPrefixUses = prefixRelay.takeRound();
      return (host) => {
        const state = hosts.get(host);
        const changed = adapters.filter(({ id, text }) => state?.sentAdapters.get(id) !== text);
        for (const { id, text } of changed) state?.sentAdapters.set(id, text);
        return {
          type: 'view',
          fence,
          reportNumber: state?.report.number,
          serversAgeMs,
          version: configuration?.version ?? 0,
          hosts: hostCount,
          loads,
          ...buckets.computeLevels(host),
          ownLoads: state?.report.loads ?? {},
          adapters: Object.fromEntries(changed.map(({ id, list }) => [id, list])),
          leavingModels,
          loadingMs,
          suspects,
          quarantine: quarantine.takeState(host),
          limits: limitFeed.takeLimits(host),
          ...paces.takePaces(host),
          admission,
          concurrency: concurrency.takeView(host),
          prefixUses: findPrefixUses(host),
          evacuations,
          // A host without a report is sent no server changes and must watch the store itself.
          isCurrent: isCurrent && state !== undefined,
          ...(state === undefined
            ? { servers: [], removed: [], isSnapshot: false }
            : collectServerChanges(state.sentServers, servers, isCurrent, nowMs)),
        };
      };
    },
    grantAdapter: async ({ model, adapter, servers: wanted, missing }, isWanted = () => true) => {
      const untilMs = clock.monotonicMs() + GRANT_TIMEOUT_MS;
      for (const id of missing) controllers.get(id)?.recordMissingAdapter(`${model}/${adapter}`);
      for (const id of wanted) {
        if (clock.monotonicMs() >= untilMs || !isWanted()) break;
        const wait = { untilMs, isWanted };
        const grant = await controllers.get(id)?.acquireAdapter(model, adapter, wait);
        if (grant !== undefined) return grant;
      }
      log.info(
        { model, adapter, wanted, fence },
        'adapter not granted: requested engines are busy, full, unresponsive or cannot be sent orders yet',
      );
      return undefined;
    },
    reserveRequest: requestSchedules.reserve,
    tryTrial: (parts) => options.isLeadershipConfirmed() && quarantine.tryTrial(parts),
    stop: () => {
      isStopped = true;
      clearInterval(planningTimer);
      for (const controller of controllers.values()) controller.close();
    },
  };
}
