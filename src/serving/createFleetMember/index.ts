import { chooseStandbys } from '../../decisions/leadership/chooseStandbys/index.js';
import { computeStartGraces } from '../../decisions/leadership/computeStartGraces/index.js';
import { isLeaveAdded } from '../../decisions/serving/isLeaveAdded/index.js';
import { formatError } from '../../errors/index.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import { createFleetTransport, type FleetConnection } from '../createFleetTransport/index.js';
import { type FleetMessage, type FleetReport, type SentRequestLimit } from '../fleetMessages.js';
import { decodeColdTimes } from '../coldTimeMessages.js';
import { decodeRequestLimits } from '../requestLimitMessages.js';
import { startFleetLeader, type FleetLeader } from '../startFleetLeader/index.js';
import type { FleetMember, FleetMemberOptions } from './types.js';
import { decodeConfigurationValue } from './_lib/configurationValue.js';
import { createConfigurationExchange } from './_lib/createConfigurationExchange.js';
import { createLeaderFeeds } from './_lib/createLeaderFeeds.js';
import { createAdmissionUpdates } from './_lib/createAdmissionUpdates.js';
import { createAdapterRequests } from './_lib/createAdapterRequests.js';
import { handleHostMessage } from './_lib/handleHostMessage.js';
import { createMemberQuarantine } from './_lib/createMemberQuarantine.js';
import { createPlacementClient } from './_lib/createPlacementClient.js';
import { createReportLog } from './_lib/createReportLog.js';
import { createRequestLimiter } from './_lib/createRequestLimiter.js';
import { collectReport } from './_lib/collectReport.js';
import { createViewReader } from './_lib/createViewReader.js';
import { createWatchTimes } from './_lib/createWatchTimes.js';
import { createUsageTracker } from './_lib/createUsageTracker.js';

const ROUND_INTERVAL_MS = 200; // older loads make hosts misroute a burst; see docs/platform.md
const MAX_VIEW_AGE_MS = 1500; // several rounds; after that placement counts as unavailable

/** Creates this host's member of the fleet. */
export function createFleetMember(options: FleetMemberOptions): FleetMember {
  const { clock, log, serverRegistry, serverNotices, rateLimiter, host } = options;
  let leader: FleetLeader | undefined;
  let configuration: ServingConfiguration | undefined;
  let servers: ReadonlyMap<string, BackendServer> = new Map();
  const graces = computeStartGraces({ ...options, random: options.random() });
  const feeds = createLeaderFeeds({
    clock,
    ...options.freshness,
    getListAgeMs: options.listAge.getAgeMs,
    getEvacuationsAgeMs: options.evacuations.getAgeMs,
    startGraceMs: graces.changesMs,
    leadershipGraceMs: graces.leadershipMs,
  });
  const watchTimes = createWatchTimes(clock, options.freshness.watchTimeoutMs);
  let registeredHosts: readonly string[] = [];
  /** When the hosts of earlier lists were last seen registered. */
  const lastRegisteredAtMs = new Map<string, number>();
  const usage = createUsageTracker();
  const reports = createReportLog(clock);
  const configurations = createConfigurationExchange(clock);
  const connections = new Map<string, FleetConnection>();
  const adapterRequests = createAdapterRequests((message) => transport.sendToLeader(message));

  const quarantine = createMemberQuarantine({
    clock,
    isLed: () => isPlacementAvailable(),
    getLeader: () => leader,
    sendToLeader: (message) => transport.sendToLeader(message),
  });

  const requestLimiter = createRequestLimiter({
    clock,
    random: options.random,
    getRequestLimit: serverNotices.getRequestLimit,
    isCold: serverNotices.isCold,
    getHostCount: serverRegistry.getHostCount,
    isLed: () => isPlacementAvailable(),
    getLeader: () => leader,
    sendToLeader: (message) => transport.sendToLeader(message),
  });

  const buildReport = (): FleetReport =>
    collectReport({
      ...options,
      number: reports.add(),
      version: configurations.getVersion(),
      usage,
      crashes: quarantine.evidence.takeReport(),
    });

  const recordLimits = (sent: readonly SentRequestLimit[]): void =>
    serverNotices.recordLimits(decodeRequestLimits(sent, clock.monotonicMs()));

  const views = createViewReader({
    ...options,
    feeds,
    reports,
    quarantine,
    isLeading: () => leader !== undefined,
    recordLimits,
  });

  const handleConfiguration = (value: Uint8Array): void => {
    try {
      options.onConfiguration(decodeConfigurationValue(value));
    } catch (error) {
      log.warn({ error: formatError(error) }, 'invalid configuration from a peer, not applied');
    }
  };

  const handleLeaderMessage = (message: FleetMessage, connection: FleetConnection): void => {
    if (message.type === 'view') {
      views.apply(message);
      configurations.requestNewer(connection, message.version);
    } else if (message.type === 'levels') views.applyLevels(message);
    else if (message.type === 'grant') adapterRequests.settle(message);
    else if (message.type === 'trialReply') quarantine.settleTrial(message);
    else if (message.type === 'reservation') requestLimiter.settle(message);
    else if (message.type === 'configurationRequest') configurations.sendTo(connection);
    else if (message.type === 'configuration') handleConfiguration(message.value);
  };

  const transport = createFleetTransport({
    self: host,
    log,
    onHostMessage: (_, message, connection) =>
      handleHostMessage(message, connection, {
        leader,
        admissionUpdates,
        configurations,
        recordNotices: ({ leaving, limits, cold }) => {
          serverNotices.recordLeaving(leaving);
          recordLimits(limits);
          serverNotices.recordColdTimes(decodeColdTimes(cold, clock.monotonicMs()));
        },
        handleConfiguration,
      }),
    onHostConnected: (name, connection) => {
      leader?.resetSentState(name);
      connections.set(name, connection);
    },
    onHostDisconnected: (name, connection) => {
      if (connections.get(name) === connection) connections.delete(name);
    },
    onLeaderConnected: () => {
      feeds.recordLeader();
      quarantine.evidence.resetReported();
      serverNotices.resetTaken();
    },
    onLeaderMessage: handleLeaderMessage,
    onLeaderDisconnected: () => {
      serverRegistry.setRemoteLoads(new Map());
      serverRegistry.clearAdapters();
    },
  });

  const countHosts = (): number =>
    Math.max(1, connections.size + 1, options.membership().listHosts().length);

  const runRound = (): void => {
    feeds.resumeWaiters();
    const report = buildReport();
    if (leader === undefined) {
      if (!transport.sendToLeader(report)) usage.restoreDemand(report.demand);
      return;
    }
    leader.recordReport(report);
    const registered = options.membership().listHosts();
    leader.setRegisteredHosts(registered.map(({ name }) => name));
    const buildView = leader.prepareViews(countHosts(), watchTimes.isEveryCurrent());
    const standbys = chooseStandbys(registered.filter(({ name }) => connections.has(name)));
    for (const [name, connection] of connections)
      connection.send({ ...buildView(name), isStandby: standbys.has(name) });
    views.apply({ ...buildView(host), isStandby: false });
  };
  const roundTimer = setInterval(runRound, ROUND_INTERVAL_MS);

  const admissionUpdates = createAdmissionUpdates({
    clock,
    rateLimiter,
    sender: { host, incarnation: options.incarnation },
    connections,
    getLeader: () => leader,
    sendToLeader: transport.sendToLeader,
    applyLevels: views.applyLevels,
  });

  const isPlacementAvailable = (): boolean => feeds.getViewAgeMs() < MAX_VIEW_AGE_MS;

  const placement = createPlacementClient({
    clock,
    serverRegistry,
    adapterRequests,
    getLeader: () => leader,
    isLed: isPlacementAvailable,
    getConfiguration: () => configuration,
    findReadyAtMs: views.findReadyAtMs,
    recordDemand: usage.recordDemand,
  });

  return {
    placement,
    quarantine: quarantine.client,
    requestLimiter,
    isLed: isPlacementAvailable,
    setSavedPartGroups: quarantine.setSavedPartGroups,
    listen: transport.listen,
    setHosts: (hosts) => {
      transport.setHosts(hosts);
      const nowMs = clock.monotonicMs();
      for (const name of registeredHosts) lastRegisteredAtMs.set(name, nowMs);
      registeredHosts = hosts.map(({ name }) => name);
      if (isPlacementAvailable()) return;
      for (const part of [rateLimiter, serverRegistry]) part.setHostCount(hosts.length);
    },
    setLeadership: (fence) => {
      leader?.stop();
      leader = undefined;
      options.metrics.setLeading(fence !== undefined);
      feeds.setLeading(fence !== undefined);
      watchTimes.reset();
      quarantine.evidence.resetReported();
      if (fence !== undefined) {
        leader = startFleetLeader({
          ...options,
          fence,
          levels: rateLimiter.getLevels(),
          lastRegisteredAtMs,
          savedPartGroups: quarantine.listPartGroups(),
          writePartGroups: (groups) => options.membership().writePartGroups(groups),
          confirmLeadership: () => options.membership().confirmLeadership(),
          isLeadershipConfirmed: () => options.membership().isLeadershipConfirmed(),
        });
        if (configuration !== undefined) leader.setConfiguration(configuration);
        leader.setServers(servers);
      }
      connections.clear();
      transport.setLeadership(fence);
    },
    setConfiguration: (next, value) => {
      configuration = next;
      configurations.setConfiguration(next.version, value);
      leader?.setConfiguration(next);
    },
    setServers: (next) => {
      const isUrgent = leader !== undefined && isLeaveAdded(servers, next);
      servers = next;
      leader?.setServers(next);
      // The other hosts go on sending requests to a server until they know that it leaves.
      if (isUrgent) runRound();
    },
    announceEvacuations: () => {
      if (leader !== undefined) runRound();
    },
    recordModelUse: (server, name, change) => usage.recordUse(`${server}/${name}`, change),
    feeds,
    recordStoreResponse: watchTimes.record,
    close: () => {
      clearInterval(roundTimer);
      admissionUpdates.close();
      feeds.close();
      leader?.stop();
      transport.close();
    },
  };
}
