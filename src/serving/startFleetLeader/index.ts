import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { ModelOrderClient } from '../../ports/modelOrderClient.js';
import type { BackendServer, EnginePool, ServingConfiguration } from '../../ports/serving.js';
import { createFleetTokenBuckets } from '../createFleetTokenBuckets/index.js';
import { createEngineController, type EngineController } from '../createEngineController/index.js';
import type {
  FleetLevelsMessage,
  FleetReport,
  FleetView,
  HostAdmissions,
} from '../fleetMessages.js';
import type { ServingMetrics } from '../createServingMetrics/index.js';
import type { AdapterGrant, AdapterRequest } from '../types.js';
import { createReplicaScheduler } from './_lib/createReplicaScheduler.js';
import { createDemandMeter } from './_lib/createDemandMeter.js';
import { collectServerChanges } from './_lib/collectServerChanges.js';

/** What leading the fleet needs. */
export interface FleetLeaderOptions {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  orders: ModelOrderClient;
  host: string;
  fence: number;
  confirmLeadership: () => Promise<boolean>;
  /** Levels of the organisations' buckets as this host followed them before. */
  levels: ReadonlyMap<string, number>;
  /** Hosts that were listed lately, with when that was; some may serve on though nobody hears them. */
  listedAtMs: ReadonlyMap<string, number>;
}

/** The work of the host that holds the command: figures of all hosts, adapters and copies. */
export interface FleetLeader {
  setConfiguration: (configuration: ServingConfiguration) => void;
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  recordReport: (report: FleetReport) => void;
  recordAdmissions: (admissions: HostAdmissions) => void;
  /** Whether hosts must hear of the levels before the next view. */
  needsLevelUpdate: () => boolean;
  buildLevels: (host: string) => FleetLevelsMessage;
  markLevelsSent: () => void;
  /** Takes which hosts are listed in the fleet now. */
  setListedHosts: (hosts: readonly string[]) => void;
  resetSentState: (host: string) => void;
  /** Sums up the fleet once; the result builds what each host is told. */
  prepareViews: (hosts: number, isCurrent: boolean) => (host: string) => FleetView;
  grantAdapter: (wish: AdapterRequest) => Promise<AdapterGrant | undefined>;
  stop: () => void;
}

interface HostState {
  report: FleetReport;
  inUse: ReadonlySet<string>;
  atMs: number;
  /** Adapters of each engine that the host was told last. */
  told: Map<string, string>;
  /** Servers that the host was told last. */
  toldServers: Map<string, BackendServer>;
}

const PLAN_MS = 300; // a few plans within the time of one load
const HOST_FRESH_MS = 1500; // figures of a host that is silent for longer count no more
const HOST_GONE_MS = 10_000; // a host that nobody hears may serve on until its callers have left it
const SETTLE_MS = 1500; // engines write their entry every second or so while a system starts

/** Starts leading the fleet under one fence. */
export function startFleetLeader(options: FleetLeaderOptions): FleetLeader {
  const { clock, log, fence } = options;
  const rooms = new Map<string, EngineController>();
  const hosts = new Map<string, HostState>();
  const buckets = createFleetTokenBuckets({ clock, levels: options.levels });
  const demand = createDemandMeter(clock.monotonicMs());
  let configuration: ServingConfiguration | undefined;
  let servers: ReadonlyMap<string, BackendServer> = new Map();
  /** When the number of servers last rose. */
  let grownAtMs = Infinity;
  /** Kept apart from `servers`, which its owner changes in place. */
  let knownServers = 0;
  const listedAtMs = new Map(options.listedAtMs);
  const startedAtMs = clock.monotonicMs();
  let isStopped = false;

  const listFresh = (): HostState[] => {
    const nowMs = clock.monotonicMs();
    return [...hosts.values()].filter(({ atMs }) => nowMs - atMs < HOST_FRESH_MS);
  };

  const isInUse = (server: string, adapter: string): boolean =>
    listFresh().some(({ inUse }) => inUse.has(`${server}/${adapter}`));

  const findPool = (service: string): EnginePool | undefined =>
    configuration?.services.get(service)?.engines;

  const updateRooms = (): void => {
    for (const [id, room] of rooms) {
      if (servers.has(id)) continue;
      room.close();
      rooms.delete(id);
    }
    for (const [id, server] of servers) {
      const pool = findPool(server.service);
      if (pool === undefined) continue;
      const room = rooms.get(id);
      if (room?.getServer().incarnation === server.incarnation) {
        room.setPool(pool);
        room.setServer(server);
        continue;
      }
      room?.close();
      rooms.set(
        id,
        createEngineController({ ...options, holder: options.host, isInUse, server, pool }),
      );
    }
  };

  const moveCopies = createReplicaScheduler({
    clock,
    log,
    fence,
    demand,
    isInUse,
    listControllers: (service) => [...rooms].filter(([id]) => servers.get(id)?.service === service),
  });

  const plan = async (): Promise<void> => {
    demand.decay(clock.monotonicMs());
    if (configuration === undefined || isStopped) return;
    if (clock.monotonicMs() - grownAtMs < SETTLE_MS || !(await options.confirmLeadership())) return;
    for (const service of configuration.services.values())
      if (service.engines !== undefined) moveCopies(service.name, service.engines);
  };
  const timer = setInterval(() => {
    plan().catch((error: unknown) => log.error({ error: String(error) }, 'placement failed'));
  }, PLAN_MS);

  const sumLoads = (): FleetView['loads'] => {
    const loads: FleetView['loads'] = {};
    for (const { report } of listFresh())
      for (const [server, [active, backlog, held, urgent]] of Object.entries(report.loads)) {
        const sum = loads[server] ?? [0, 0, 0, 0];
        loads[server] = [sum[0] + active, sum[1] + backlog, sum[2] + held, sum[3] + urgent];
      }
    return loads;
  };

  const listSuspects = (): string[] => {
    const fresh = listFresh();
    const votes = new Map<string, number>();
    for (const { report } of fresh)
      for (const server of report.silent) votes.set(server, (votes.get(server) ?? 0) + 1);
    // A single host may itself be cut off from a server.
    const needed = Math.min(2, fresh.length);
    return [...votes].filter(([, count]) => count >= needed).map(([server]) => server);
  };

  return {
    setConfiguration: (next) => {
      configuration = next;
      buckets.setOrganisations([...(next.organisationsByKey?.values() ?? [])]);
      updateRooms();
    },
    setServers: (next) => {
      if (next.size > knownServers) grownAtMs = clock.monotonicMs();
      knownServers = next.size;
      servers = next;
      updateRooms();
    },
    recordReport: (report) => {
      const known = hosts.get(report.host);
      buckets.recordAdmissions(report);
      demand.record(report.demand);
      hosts.set(report.host, {
        report,
        inUse: new Set(report.inUse),
        atMs: clock.monotonicMs(),
        told: known?.told ?? new Map<string, string>(),
        toldServers: known?.toldServers ?? new Map<string, BackendServer>(),
      });
    },
    setListedHosts: (listed) => {
      const nowMs = clock.monotonicMs();
      for (const name of listed) listedAtMs.set(name, nowMs);
      const unheard = [...listedAtMs].flatMap(([name, atMs]) => {
        const heardAtMs = Math.max(hosts.get(name)?.atMs ?? -Infinity, startedAtMs);
        const isSilent = name !== options.host && nowMs - heardAtMs > HOST_FRESH_MS;
        return isSilent && nowMs - Math.max(atMs, heardAtMs) < HOST_GONE_MS ? [name] : [];
      });
      buckets.setUnreachableHosts(unheard, Math.max(1, listed.length));
    },
    recordAdmissions: buckets.recordAdmissions,
    needsLevelUpdate: buckets.needsLevelUpdate,
    buildLevels: (host) => ({ type: 'levels', ...buckets.computeLevels(host) }),
    markLevelsSent: buckets.markLevelsSent,
    resetSentState: (host) => {
      hosts.get(host)?.told.clear();
      hosts.get(host)?.toldServers.clear();
    },
    prepareViews: (hostCount, isCurrent) => {
      const loads = sumLoads();
      const suspects = listSuspects();
      const adapters = [...rooms].map(([id, room]) => {
        const list = room.listAdapters();
        return { id, list, text: list.join() };
      });
      const leavingModels = [...rooms].flatMap(([id, room]) =>
        room.listUnloadingModels().map((model) => `${id}/${model}`),
      );
      const loadingModels = [...rooms].flatMap(([id, room]) => {
        const model = room.getLoadingModel();
        return model === undefined ? [] : [`${servers.get(id)?.service ?? ''}/${model}`];
      });
      return (host) => {
        const state = hosts.get(host);
        const changed = adapters.filter(({ id, text }) => state?.told.get(id) !== text);
        for (const { id, text } of changed) state?.told.set(id, text);
        return {
          type: 'view',
          fence,
          version: configuration?.version ?? 0,
          hosts: hostCount,
          loads,
          ...buckets.computeLevels(host),
          ownLoads: state?.report.loads ?? {},
          adapters: Object.fromEntries(changed.map(({ id, list }) => [id, list])),
          leavingModels,
          loadingModels,
          suspects,
          // A host that has not reported yet can't be told apart from one that was told already.
          isCurrent: isCurrent && state !== undefined,
          ...collectServerChanges(
            state?.toldServers ?? new Map<string, BackendServer>(servers),
            servers,
          ),
        };
      };
    },
    grantAdapter: async ({ model, adapter, servers: wanted, missing }) => {
      for (const id of missing) rooms.get(id)?.recordMissingAdapter(`${model}/${adapter}`);
      for (const id of wanted) {
        const grant = await rooms.get(id)?.acquireAdapter(model, adapter);
        if (grant !== undefined) return grant;
      }
      log.info({ model, adapter, wanted, fence }, 'no engine takes the adapter');
      return undefined;
    },
    stop: () => {
      isStopped = true;
      clearInterval(timer);
      for (const room of rooms.values()) room.close();
    },
  };
}
