import { randomUUID } from 'node:crypto';
import { formatError } from '../../../errors/index.js';
import type { BackendServer, ServingConfiguration } from '../../../ports/serving.js';
import { computeFreshnessLimits } from '../../../decisions/leadership/computeFreshnessLimits/index.js';
import { createHeldBytes } from '../../../serving/createHeldBytes/index.js';
import { createFleetMember } from '../../../serving/createFleetMember/index.js';
import { StoreWatch } from '../../../serving/createFleetMember/types.js';
import { createOrganisationRateLimiter } from '../../../serving/createOrganisationRateLimiter/index.js';
import { createServiceRetryBudget } from '../../../serving/createServiceRetryBudget/index.js';
import { createStoreOutage } from '../../../serving/createStoreOutage/index.js';
import { createEpochStore } from '../../../serving/createEpochStore/index.js';
import { createEvacuations } from '../../../serving/createEvacuations/index.js';
import { createListAge } from '../../../serving/createListAge/index.js';
import { createServerRegistry } from '../../../serving/createServerRegistry/index.js';
import { watchPrefix } from '../../../serving/watchPrefix/index.js';
import { watchServers } from '../../../serving/watchServers/index.js';
import { maintainMembership, type Membership } from '../../../serving/maintainMembership/index.js';
import { serveRequest } from '../../../serving/serveRequest/index.js';
import type { ServingContext } from '../../../serving/types.js';
import type { FleetEntry, FleetEntryOptions } from './types.js';
import { createLoadControl } from './_lib/createLoadControl.js';
import { createRefreshes } from './_lib/createRefreshes.js';
import { createStopCheck } from './_lib/createStopCheck.js';
import { createVersionTracking } from './_lib/createVersionTracking.js';
import { runPlannedStop } from './_lib/runPlannedStop.js';

export type * from './types.js';

/** Engines get no orders until the lease of a failed leader has expired. */
const LEADER_TTL_MS = 2000;
/** The leader keeps trying to connect to a failed host until its registration has expired. */
const REGISTRATION_TTL_MS = 20_000;
/** Pause after a change of the configuration, so that frequent changes are batched. */
const CONFIGURATION_BATCH_DELAY_MS = 100;

/**
 * Starts a fleet host: joins the fleet, watches the store and listens for callers. The host is ready once it has a
 * configuration and the list of backend servers.
 */
export async function startFleetEntry(options: FleetEntryOptions): Promise<FleetEntry> {
  const { host, clock, log, metrics, serverNotices, settings } = options;
  const store = createEpochStore({ client: options.store, log });
  const incarnation = randomUUID();
  const stopping = new AbortController();
  const { signal } = stopping;
  const evacuations = createEvacuations({
    clock,
    log,
    prefix: options.evacuationPrefix,
    // The other hosts go on sending until they know.
    onChange: ({ revoked }) => {
      serverNotices.recordRevocations(revoked);
      fleetMember.announceEvacuations();
    },
    onComplete: () => refreshes.recordEvacuationsRead(),
  });
  const { load } = settings;
  const loadControl = createLoadControl(
    options,
    (service) => configuration?.services.get(service)?.engines,
  );
  const { serverPaces, concurrency, hostQueue } = loadControl;
  const serverRegistry = createServerRegistry({
    clock,
    log,
    paces: serverPaces,
    prefixes: load,
    dataCentre: options.dataCentre,
    isEvacuated: evacuations.isEvacuated,
    getWaitMs: (id) =>
      Math.max(serverNotices.getPauseMs(id), fleetMember.requestLimiter.getWaitMs(id)),
    getColdMs: serverNotices.getShiftedColdMs,
  });
  const freshness = computeFreshnessLimits(settings.maximumStalenessMs);
  const listAge = createListAge(clock, { onComplete: () => refreshes.recordListRead() });
  const outage = createStoreOutage({ clock });
  const rateLimiter = createOrganisationRateLimiter({ clock });
  const retryBudget = createServiceRetryBudget({
    clock,
    ratio: settings.retryRatio,
    fixedRetries: settings.fixedRetries,
    windowMs: settings.retryWindowMs,
  });
  let configuration: ServingConfiguration | undefined;
  let hasServers = false;
  let isStopping = false;
  let lastSendAtMs = Infinity;

  const applyConfiguration = (value: Buffer, source: string): void => {
    try {
      const decoded = options.configuration.decode(value);
      if (decoded.version <= (configuration?.version ?? -1)) return;
      log.info(
        { version: decoded.version, before: configuration?.version, source },
        'configuration in force',
      );
      configuration = decoded;
      serverNotices.setConfiguration(decoded);
      serverRegistry.setConfiguration(decoded);
      fleetMember.setConfiguration(decoded, value);
      callerListener.setConfiguration(decoded);
    } catch (error) {
      log.error(
        { source, version: configuration?.version, error: formatError(error).slice(0, 500) },
        'configuration could not be decoded; keeping the current version',
      );
    }
  };

  const fleetMember = createFleetMember({
    clock,
    log,
    metrics,
    orders: options.orders,
    serverRegistry,
    serverNotices,
    ...loadControl,
    load,
    rateLimiter,
    retryBudget,
    host,
    incarnation,
    linkMbps: options.linkMbps,
    random: options.random,
    isFirstStart: settings.isFirstStart,
    freshness,
    listAge,
    evacuations,
    membership: (): Membership => membership,
    onConfiguration: (value) => applyConfiguration(Buffer.from(value), 'peer'),
    onServers: (changes) => serverWatch.applyLeaderChanges(changes),
  });
  serverNotices.setContact({ getListAgeMs: listAge.getAgeMs, isLed: fleetMember.isLed });
  const refreshes = createRefreshes({
    clock,
    listAge,
    evacuations,
    outage,
    maximumAgeMs: settings.maximumStalenessMs,
    resumeWaiters: fleetMember.feeds.resumeWaiters,
  });
  metrics.observeEvacuations(
    () => new Map(evacuations.list().map((name) => [name, serverRegistry.countRunning(name)])),
  );
  const versions = createVersionTracking({
    ...options,
    store,
    outage,
    listAge,
    signal,
    isLeader: () => membership.isLeadershipConfirmed(),
    onRecordsWritten: metrics.countStreamRecords,
  });
  const context: ServingContext = {
    clock,
    log,
    metrics,
    random: options.random,
    serverRegistry,
    backendClient: options.backendClient,
    rateLimiter,
    retryBudget,
    placement: fleetMember.placement,
    quarantine: fleetMember.quarantine,
    requestLimiter: fleetMember.requestLimiter,
    serverNotices,
    ...loadControl,
    recordModelUse: fleetMember.recordModelUse,
    getConfigurationVersion: () => configuration?.version ?? 0,
    getServersAgeMs: listAge.getAgeMs,
    mayBeStopping: createStopCheck({ serverRegistry, listAge, settings }),
    refreshServers: refreshes.refreshServers,
    evacuations,
    streamVersions: versions.streamVersions,
    load,
    heldBytes: createHeldBytes(),
    maximumResponseBytes: settings.maximumResponseBytes,
    getLastSendAtMs: () => lastSendAtMs,
  };
  const callerListener = options.createCallerListener((request, response) => {
    serveRequest(context, request, response).catch((error: unknown) => {
      log.error(
        { requestId: request.id, error: formatError(error) },
        'request failed unexpectedly',
      );
      response.resetConnection();
    });
  });
  const peerPort = await fleetMember.listen(options.address, options.peerPort);
  const callerPort = await callerListener.listen();

  const membership = maintainMembership({
    store,
    clock,
    log,
    random: options.random,
    self: { name: host, address: options.address, port: peerPort, linkMbps: options.linkMbps },
    incarnation,
    isFirstStart: settings.isFirstStart,
    leaderTtlMs: LEADER_TTL_MS,
    registrationTtlMs: REGISTRATION_TTL_MS,
    handoverMs: settings.handoverMs,
    signal,
    feed: fleetMember.feeds.leadership,
    outage,
    onHosts: fleetMember.setHosts,
    onPartGroups: fleetMember.setSavedPartGroups,
    onLeadershipChange: fleetMember.setLeadership,
  });
  void watchPrefix({
    store,
    prefix: options.configuration.prefix,
    clock,
    log,
    signal,
    random: options.random,
    watchTimeoutMs: freshness.watchTimeoutMs,
    pauseMs: CONFIGURATION_BATCH_DELAY_MS,
    mayWaitForOthers: true,
    onSnapshot: (items, revision) => {
      evacuations.applyKeys(items, { revision, isSnapshot: true });
      for (const { key, value } of items)
        if (key === options.configuration.key) applyConfiguration(value, 'store');
    },
    onChanges: (changes, revision) => {
      evacuations.applyKeys(changes, { revision, isSnapshot: false });
      for (const { key, value } of changes)
        if (key === options.configuration.key && value !== undefined)
          applyConfiguration(value, 'store');
    },
    onStoreResponse: () => fleetMember.recordStoreResponse(StoreWatch.configuration),
    onComplete: evacuations.recordComplete,
    feed: fleetMember.feeds.changes,
    outage,
  });
  let registeredServers: ReadonlyMap<string, BackendServer> = new Map();
  const applyServers = (): void => {
    const servers = serverNotices.applyTo(registeredServers);
    serverRegistry.setServers(servers);
    fleetMember.setServers(servers);
    versions.setServers(servers);
  };
  serverNotices.onChange(applyServers);
  metrics.setColdServerCounter(serverNotices.countCold);
  const serverWatch = watchServers({
    store,
    prefix: options.servers.prefix,
    clock,
    log,
    signal,
    random: options.random,
    watchTimeoutMs: freshness.watchTimeoutMs,
    batchDelayMs: freshness.serverBatchDelayMs,
    maximumBackoffMs: freshness.maximumBackoffMs,
    decode: options.servers.decode,
    onServers: (registered) => {
      hasServers = true;
      registeredServers = registered;
      applyServers();
      options.backendClient.retainConnections(
        new Set([...registered.values()].map(({ incarnation: id }) => id)),
      );
    },
    onStoreResponse: () => fleetMember.recordStoreResponse(StoreWatch.servers),
    listAge,
    registrationIntervalMs: settings.registrationIntervalMs,
    feed: fleetMember.feeds.servers,
    pause: refreshes.serversPause,
    outage,
  });
  log.info({ incarnation, address: options.address, peerPort, callerPort }, 'started');

  const stop = async (): Promise<void> => {
    isStopping = true;
    await runPlannedStop({
      clock,
      log,
      callerListener,
      gracePeriodMs: settings.gracePeriodMs,
      leave: membership.leave,
      setLastSendAtMs: (atMs) => {
        lastSendAtMs = atMs;
        hostQueue.endAll();
      },
      close: async () => {
        stopping.abort();
        concurrency.close();
        fleetMember.close();
        options.backendClient.close();
        await store.close();
      },
    });
  };
  return {
    callerPort,
    isReady: () =>
      !isStopping && configuration !== undefined && hasServers && evacuations.isKnown(),
    stop,
  };
}
