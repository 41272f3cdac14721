import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { createBackendServerClient } from '../../../adapters/backendServer/index.js';
import { openCallerServer } from '../../../adapters/callerHttp/index.js';
import { systemClock } from '../../../adapters/clock/index.js';
import { createHttpHostList } from '../../../adapters/hostList/index.js';
import { createEtcdKeyValueService } from '../../../adapters/keyValueService/index.js';
import { createLog } from '../../../adapters/log/index.js';
import { createMetrics } from '../../../adapters/metrics/index.js';
import { createClaimStore } from '../../../coordination/createClaimStore/index.js';
import { createDemandMeter } from '../../../coordination/createDemandMeter/index.js';
import { createDispatcher } from '../../../coordination/createDispatcher/index.js';
import { createControlState } from '../../../coordination/createControlState/index.js';
import { createRetryBudget } from '../../../coordination/createRetryBudget/index.js';
import { syncControlState } from '../../../coordination/syncControlState/index.js';
import { HostRole } from '../../../ports/hostList.js';
import { collectStatus } from '../_lib/collectStatus.js';
import { createActiveRequests } from '../_lib/createActiveRequests.js';
import { createBackendDirectory } from '../_lib/createBackendDirectory.js';
import { createContactTracker } from '../_lib/createContactTracker.js';
import { createEntryGuards } from '../_lib/createEntryGuards.js';
import { createHeartbeats } from '../_lib/createHeartbeats.js';
import { createPeerRegistry } from '../_lib/createPeerRegistry.js';
import { createRefusalCounter } from '../_lib/createRefusalCounter.js';
import { maintainEntrySlots } from '../_lib/maintainEntrySlots.js';
import { openEntryPeers } from '../_lib/openEntryPeers.js';
import { openOperatorServer } from '../_lib/openOperatorServer.js';
import { pollHostList } from '../_lib/pollHostList.js';
import { handleRequest } from '../handlers/handleRequest.js';
import type { EntrySettings } from '../settings.js';
import type { EntryContext, EntryHost } from '../types.js';

export type { EntryHost } from '../types.js';

/** Starts an entry host; resolves once it listens. */
export async function startEntry(settings: EntrySettings): Promise<EntryHost> {
  const { hostId: host, dataCentre } = settings;
  const clock = systemClock;
  const incarnation = randomUUID();
  const stopping = new AbortController();
  const { signal } = stopping;
  const log = createLog('bronzelanding-entry', {
    level: settings.logLevel,
    fields: { host, dataCentre },
  });
  const metrics = createMetrics({ statsd: settings.statsd, tags: { host, dataCentre } });

  const controlState = createControlState(settings.operatorKeys, log);
  const peerRegistry = createPeerRegistry(clock);
  const backendDirectory = createBackendDirectory(clock);
  const contact = createContactTracker({
    clock,
    listContactTimes: peerRegistry.listContactTimes,
    listPeerIds: () =>
      backendDirectory
        .listHosts()
        .filter(({ role, id }) => role === HostRole.entry && id !== host)
        .map(({ id }) => id),
    isolationTimeoutMs: settings.isolationTimeoutMs,
  });
  const { isInContact } = contact;
  const service = createEtcdKeyValueService(settings.keyValueService, {
    timeoutMs: settings.keyValueTimeoutMs,
    onCall: (kind) => metrics.increment('key_value_calls', 1, { kind }),
    onResponse: contact.recordServiceResponse,
  });
  const demand = createDemandMeter(clock);
  const refusalCounter = createRefusalCounter(clock);
  const activeRequests = createActiveRequests();
  const claims = createClaimStore({ service, clock, log });
  const backendClient = createBackendServerClient({
    connectMs: settings.connectTimeoutMs,
    headersMs: settings.backendHeadersTimeoutMs,
    bodyMs: settings.backendBodyTimeoutMs,
  });
  const dispatcher = createDispatcher({
    clock,
    listCandidates: (target) => backendDirectory.listCandidates(target, peerRegistry.getInFlight()),
  });

  const { network, rateLimiter, applyWithdrawals } = await openEntryPeers({
    settings,
    incarnation,
    clock,
    log,
    controlState,
    peerRegistry,
    needsLedger: contact.isServiceUnreachable,
  });

  const heartbeats = createHeartbeats({
    host,
    incarnation,
    network,
    controlState,
    rateLimiter,
    dispatcher,
    demand,
    refusalCounter,
  });
  const sendHeartbeats = (): void => {
    heartbeats.send();
    dispatcher.dispatchQueued();
  };

  let bundle = controlState.get().accepted?.bundle;
  controlState.watch((snapshot) => {
    backendDirectory.setControlState(snapshot);
    if (snapshot.accepted?.bundle !== bundle) {
      bundle = snapshot.accepted?.bundle;
      rateLimiter.setOrganisations(bundle?.organisations ?? []);
    }
    activeRequests.endWithdrawn((keyDigest) => snapshot.keyIndex.has(keyDigest));
    dispatcher.dispatchQueued();
    if (!signal.aborted) sendHeartbeats();
  });

  const context: EntryContext = {
    settings,
    clock,
    log,
    metrics,
    controlState,
    rateLimiter,
    dispatcher,
    claims,
    backendClient,
    retryBudget: createRetryBudget(),
    demand,
    backendDirectory,
    activeRequests,
    refusalCounter,
    isInContact,
  };
  let isDraining = false;
  const getUnreadyReason = (): string | undefined => {
    if (isDraining) return 'stopping';
    if (controlState.get().accepted === undefined) return 'no bundle';
    return isInContact() ? undefined : 'out of touch';
  };
  const guards = createEntryGuards(settings, { clock, log, metrics });
  const callerServer = await openCallerServer({
    address: settings.address,
    port: settings.callerPort,
    limits: settings,
    clock,
    guard: guards.callers,
    handle: (request) => handleRequest(context, { getUnreadyReason }, request),
  });
  const operatorServer = await openOperatorServer({
    settings,
    clock,
    guard: guards.operators,
    operatorKeys: settings.operatorKeys,
    collectStatus: () => ({
      ...collectStatus(heartbeats.build(), peerRegistry.listAlive(), controlState.get()),
      peerBytesSent: network.countBytesSent(),
    }),
    applyWithdrawals,
  });

  const heartbeatTimer = setInterval(sendHeartbeats, settings.heartbeatMs);
  const pollTasks = [
    syncControlState({ service, controlState, log, signal }),
    pollHostList({
      hostList: createHttpHostList(settings.hostList),
      pollMs: settings.hostListPollMs,
      log,
      onHosts: (hosts) => {
        backendDirectory.setHosts(hosts);
        network.setListedHosts(hosts.filter(({ role }) => role === HostRole.entry));
        dispatcher.dispatchQueued();
      },
      signal,
    }),
  ];
  const slotTask = maintainEntrySlots(controlState, {
    service,
    limiter: rateLimiter,
    clock,
    log,
    host,
    endpoint: `${settings.address}:${network.port}`,
    incarnation,
    leaseSeconds: settings.slotLeaseSeconds,
    countLiveHosts: () => peerRegistry.listAlive().length + 1,
    signal,
  });
  log.info(
    {
      callerPort: callerServer.port,
      peerPort: network.port,
      operatorPort: operatorServer.port,
      incarnation,
    },
    'listening',
  );

  const stop = async (): Promise<void> => {
    log.info({ active: activeRequests.count() }, 'planned stop started');
    isDraining = true;
    await wait(settings.drainMs);
    await callerServer.stop();
    await activeRequests.waitUntilEmpty();
    await claims.waitUntilIdle();
    stopping.abort();
    await slotTask;
    clearInterval(heartbeatTimer);
    dispatcher.stop();
    await Promise.all(pollTasks);
    await operatorServer.stop();
    await network.close();
    await backendClient.close();
    await service.close();
    metrics.close();
    log.info({}, 'planned stop finished');
  };
  return {
    callerPort: callerServer.port,
    peerPort: network.port,
    operatorPort: operatorServer.port,
    stop,
  };
}
