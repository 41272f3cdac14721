import { setTimeout as wait } from 'node:timers/promises';
import { isEveryWatchCurrent } from '../../decisions/leadership/isEveryWatchCurrent/index.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import { LEVEL_UPDATE_BURST_FRACTION } from '../createFleetTokenBuckets/index.js';
import { createFleetTransport, type FleetConnection } from '../createFleetTransport/index.js';
import type { FleetLevelsMessage, FleetMessage, FleetReport, FleetView } from '../fleetMessages.js';
import { startFleetLeader, type FleetLeader } from '../startFleetLeader/index.js';
import { StoreWatch, type FleetMember, type FleetMemberOptions } from './types.js';
import { computeOtherHostsLoads } from './_lib/computeOtherHostsLoads.js';
import { createAdapterRequests } from './_lib/createAdapterRequests.js';
import { createUsageTracker, encodeLoads } from './_lib/createUsageTracker.js';

const ROUND_MS = 200; // figures older than that misplace a burst; see docs/platform.md
const RUSH_MS = 40; // a hot organisation spends a few percent of its burst meanwhile
const RUSH_HOST_MS = 5; // each message to a host takes some of the time of a small host
const VIEW_FRESH_MS = 1500; // several rounds; later nobody is taken to place models
const FED_FRESH_MS = 700; // three rounds; then this host watches the store itself
const ORDER_MS = 700; // a plan, its announcement and the order
const MODEL_POLL_MS = 40; // below the shortest objective by far

/** Creates a host's part in the fleet. */
export function createFleetMember(options: FleetMemberOptions): FleetMember {
  const { clock, log, serverRegistry, rateLimiter, retryBudget, host } = options;
  let lead: FleetLeader | undefined;
  let configuration: ServingConfiguration | undefined;
  let configurationValue: Buffer | undefined;
  let servers: ReadonlyMap<string, BackendServer> = new Map();
  let viewAtMs = -Infinity;
  let isHolderCurrent = false;
  /** Models that some engine is loading, and since when this host knows. */
  const loadingSinceMs = new Map<string, number>();
  const answersAtMs = new Map<StoreWatch, number>();
  /** Watches of the store that go on once nobody feeds this host. */
  const unfedWaiters: (() => void)[] = [];
  let listed: readonly string[] = [];
  /** When each host that is listed no more was listed last. */
  const listedAtMs = new Map<string, number>();
  const work = createUsageTracker();
  const connections = new Map<string, FleetConnection>();
  const wishes = createAdapterRequests((message) => link.sendToLeader(message));

  const buildReport = (): FleetReport => ({
    type: 'report',
    host,
    incarnation: options.incarnation,
    version: configuration?.version ?? 0,
    loads: encodeLoads(serverRegistry.getOwnLoads()),
    admitted: Object.fromEntries(rateLimiter.getAdmitted()),
    shares: Object.fromEntries(rateLimiter.getShares()),
    demand: work.takeDemand(),
    inUse: work.listInUse(),
    silent: serverRegistry.listSilent(),
  });

  const applyView = (view: FleetView): void => {
    viewAtMs = clock.monotonicMs();
    serverRegistry.setRemoteLoads(computeOtherHostsLoads(view));
    serverRegistry.updateAdapters(
      new Map(Object.entries(view.adapters).map(([server, list]) => [server, new Set(list)])),
    );
    serverRegistry.setLeavingModels(new Set(view.leavingModels));
    serverRegistry.setSuspects(new Set(view.suspects));
    for (const key of loadingSinceMs.keys())
      if (!view.loadingModels.includes(key)) loadingSinceMs.delete(key);
    for (const key of view.loadingModels)
      if (!loadingSinceMs.has(key)) loadingSinceMs.set(key, viewAtMs);
    if (lead === undefined) {
      isHolderCurrent = view.isCurrent;
      if (view.servers.length + view.removed.length > 0)
        options.onServers(view.servers, view.removed);
    }
    retryBudget.setHostCount(view.hosts);
    applyLevels(view);
    rateLimiter.setHostCount(view.hosts);
  };

  const passConfiguration = (connection: FleetConnection): void => {
    if (configurationValue !== undefined)
      connection.send({ type: 'configuration', value: Buffer.from(configurationValue) });
  };

  const answerWish = async (
    message: Extract<FleetMessage, { type: 'wish' }>,
    connection: FleetConnection,
  ): Promise<void> => {
    const grant = await lead?.grantAdapter(message);
    connection.send({
      type: 'grant',
      id: message.id,
      server: grant?.server,
      readyInMs: grant?.readyInMs ?? 0,
    });
  };

  const handleHostMessage = (message: FleetMessage, connection: FleetConnection): void => {
    if (message.type === 'report') {
      lead?.recordReport(message);
      planRush();
      if (message.version > (configuration?.version ?? 0))
        connection.send({ type: 'configurationRequest' });
    } else if (message.type === 'admissions') {
      lead?.recordAdmissions(message);
      planRush();
    } else if (message.type === 'wish') void answerWish(message, connection);
    else if (message.type === 'configurationRequest') passConfiguration(connection);
    else if (message.type === 'configuration') options.onConfiguration(message.value);
  };

  const handleHolderMessage = (message: FleetMessage, connection: FleetConnection): void => {
    if (message.type === 'view') {
      applyView(message);
      if (message.version > (configuration?.version ?? 0))
        connection.send({ type: 'configurationRequest' });
    } else if (message.type === 'levels') applyLevels(message);
    else if (message.type === 'grant') wishes.settle(message);
    else if (message.type === 'configurationRequest') passConfiguration(connection);
    else if (message.type === 'configuration') options.onConfiguration(message.value);
  };

  const link = createFleetTransport({
    self: host,
    log,
    onHostMessage: (_, message, connection) => handleHostMessage(message, connection),
    onHostConnected: (name, connection) => {
      lead?.resetSentState(name);
      connections.set(name, connection);
    },
    onHostDisconnected: (name) => connections.delete(name),
    onLeaderMessage: handleHolderMessage,
    onLeaderDisconnected: () => {
      serverRegistry.setRemoteLoads(new Map());
      serverRegistry.clearAdapters();
    },
  });

  const countHosts = (): number =>
    Math.max(1, connections.size + 1, options.membership().listHosts().length);

  const forgetAnswers = (): void => {
    for (const watch of Object.values(StoreWatch)) answersAtMs.set(watch, -Infinity);
  };
  forgetAnswers();

  const isFeedActive = (): boolean =>
    lead === undefined && isHolderCurrent && clock.monotonicMs() - viewAtMs < FED_FRESH_MS;

  const runRound = (): void => {
    if (!isFeedActive()) for (const resume of unfedWaiters.splice(0)) resume();
    const report = buildReport();
    if (lead === undefined) {
      if (!link.sendToLeader(report)) work.restoreDemand(report.demand);
      return;
    }
    lead.recordReport(report);
    lead.setListedHosts(
      options
        .membership()
        .listHosts()
        .map(({ name }) => name),
    );
    const buildView = lead.prepareViews(
      countHosts(),
      isEveryWatchCurrent([...answersAtMs.values()], clock.monotonicMs()),
    );
    for (const [name, connection] of connections) connection.send(buildView(name));
    applyView(buildView(host));
  };
  const rounds = setInterval(runRound, ROUND_MS);

  const applyLevels = (message: Omit<FleetLevelsMessage, 'type'>): void =>
    rateLimiter.setFleetLevels({
      levels: new Map(Object.entries(message.levels)),
      reportedAdmissions: new Map(Object.entries(message.ownAdmitted)),
      shares: new Map(Object.entries(message.shares)),
    });

  let rushedAtMs = -Infinity;
  let rushTimer: NodeJS.Timeout | undefined;
  /** Tells what an organisation in a rush has spent, so that hosts don't spend the same tokens. */
  const tellRush = (): void => {
    rushTimer = undefined;
    rushedAtMs = clock.monotonicMs();
    const admitted = Object.fromEntries(rateLimiter.getAdmitted());
    const admissions = { host, incarnation: options.incarnation, admitted };
    rateLimiter.markReported();
    if (lead === undefined) {
      link.sendToLeader({ type: 'admissions', ...admissions });
      return;
    }
    lead.recordAdmissions(admissions);
    if (!lead.needsLevelUpdate()) return;
    for (const [name, connection] of connections) connection.send(lead.buildLevels(name));
    applyLevels(lead.buildLevels(host));
    lead.markLevelsSent();
  };
  /** Tells what was spent at once, or a pause after it was told last. */
  const planRush = (): void => {
    if (rushTimer !== undefined) return;
    if (!rateLimiter.needsReport(LEVEL_UPDATE_BURST_FRACTION) && lead?.needsLevelUpdate() !== true)
      return;
    const pauseMs = Math.max(RUSH_MS, RUSH_HOST_MS * connections.size);
    const dueInMs = Math.max(0, rushedAtMs + pauseMs - clock.monotonicMs());
    rushTimer = setTimeout(tellRush, dueInMs);
  };
  rateLimiter.onAdmission(planRush);

  const isPlacing = (): boolean => clock.monotonicMs() - viewAtMs < VIEW_FRESH_MS;

  return {
    placement: {
      requestAdapter: (wish) =>
        lead === undefined ? wishes.request(wish) : lead.grantAdapter(wish),
      recordDemand: (service, model, amount) => work.recordDemand(`${service}/${model}`, amount),
      estimateModelMs: (service, model) => {
        if (!isPlacing()) return undefined;
        const size = configuration?.services
          .get(service)
          ?.engines?.models.find(({ name }) => name === model);
        if (size === undefined) return undefined;
        const sinceMs = loadingSinceMs.get(`${service}/${model}`);
        if (sinceMs === undefined) return size.loadMs + ORDER_MS;
        return Math.max(MODEL_POLL_MS, sinceMs + size.loadMs + ORDER_MS - clock.monotonicMs());
      },
      waitForModel: async (service, model, waitMs) => {
        const untilMs = clock.monotonicMs() + waitMs;
        while (clock.monotonicMs() < untilMs) {
          if (serverRegistry.listCandidates({ service, model }).length > 0) return;
          await wait(MODEL_POLL_MS);
        }
      },
    },
    listen: link.listen,
    setHosts: (hosts) => {
      link.setHosts(hosts);
      const nowMs = clock.monotonicMs();
      for (const name of listed) listedAtMs.set(name, nowMs);
      listed = hosts.map(({ name }) => name);
      if (!isPlacing()) rateLimiter.setHostCount(hosts.length);
    },
    setLeadership: (fence) => {
      lead?.stop();
      lead = undefined;
      options.metrics.setLeading(fence !== undefined);
      forgetAnswers();
      if (fence !== undefined) {
        lead = startFleetLeader({
          ...options,
          fence,
          levels: rateLimiter.getLevels(),
          listedAtMs,
          confirmLeadership: () => options.membership().confirmLeadership(),
        });
        if (configuration !== undefined) lead.setConfiguration(configuration);
        lead.setServers(servers);
      }
      connections.clear();
      link.setLeadership(fence);
    },
    setConfiguration: (next, value) => {
      configuration = next;
      configurationValue = value;
      lead?.setConfiguration(next);
    },
    setServers: (next) => {
      servers = next;
      lead?.setServers(next);
    },
    recordModelUse: (server, name, change) => work.recordUse(`${server}/${name}`, change),
    isFeedActive,
    waitUntilFeedEnds: () =>
      isFeedActive() ? new Promise((resolve) => unfedWaiters.push(resolve)) : Promise.resolve(),
    recordStoreResponse: (watch) => void answersAtMs.set(watch, clock.monotonicMs()),
    close: () => {
      clearInterval(rounds);
      clearTimeout(rushTimer);
      for (const resume of unfedWaiters.splice(0)) resume();
      lead?.stop();
      link.close();
    },
  };
}
