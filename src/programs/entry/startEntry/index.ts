import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { createBackendServerClient } from '../../../adapters/backendServer/index.js';
import { openCallerServer } from '../../../adapters/callerHttp/index.js';
import { systemClock } from '../../../adapters/clock/index.js';
import { createHttpHostList } from '../../../adapters/hostList/index.js';
import { createEtcdKeyValueService } from '../../../adapters/keyValueService/index.js';
import { createLog } from '../../../adapters/log/index.js';
import { createMetrics } from '../../../adapters/metrics/index.js';
import { openPeerNetwork, type PeerNetwork } from '../../../adapters/peer/index.js';
import { createClaimStore } from '../../../coordination/createClaimStore/index.js';
import { createDemandMeter } from '../../../coordination/createDemandMeter/index.js';
import { createDispatcher } from '../../../coordination/createDispatcher/index.js';
import { createControlState } from '../../../coordination/createControlState/index.js';
import { createRateLimiter } from '../../../coordination/createRateLimiter/index.js';
import { createRetryBudget } from '../../../coordination/createRetryBudget/index.js';
import { syncControlState } from '../../../coordination/syncControlState/index.js';
import { maintainSlots } from '../../../coordination/maintainSlots/index.js';
import { isIsolated } from '../../../decisions/membership/isIsolated/index.js';
import { HostRole } from '../../../ports/hostList.js';
import type { Heartbeat } from '../../../ports/peers.js';
import { collectStatus } from '../_lib/collectStatus.js';
import { createActiveRequests } from '../_lib/createActiveRequests.js';
import { createBackendDirectory } from '../_lib/createBackendDirectory.js';
import { createEntryGuards } from '../_lib/createEntryGuards.js';
import { createPeerRegistry } from '../_lib/createPeerRegistry.js';
import { createRefusalCounter } from '../_lib/createRefusalCounter.js';
import { pollHostList } from '../_lib/pollHostList.js';
import {
  buildControlStateReply,
  createControlStatePuller,
} from '../_lib/createControlStatePuller.js';
import { openOperatorServer } from '../_lib/openOperatorServer.js';
import { handleRequest } from '../handlers/handleRequest.js';
import type { EntrySettings } from '../settings.js';
import type { EntryContext, EntryHost } from '../types.js';

export type { EntryHost } from '../types.js';

/** Milliseconds without a response after which the key-value service counts as unreachable. */
const SERVICE_UNREACHABLE_AFTER_MS = 2000;
const BUNDLE_POLL_INTERVAL_MS = 50;

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

  let keyValueServiceAtMs = -Infinity;
  const service = createEtcdKeyValueService(settings.keyValueService, {
    timeoutMs: settings.keyValueTimeoutMs,
    onCall: (kind) => metrics.increment('key_value_calls', 1, { kind }),
    onResponse: () => {
      keyValueServiceAtMs = clock.monotonicMs();
    },
  });
  const isServiceUnreachable = (): boolean =>
    clock.monotonicMs() - keyValueServiceAtMs > SERVICE_UNREACHABLE_AFTER_MS;

  const controlState = createControlState(settings.operatorKeys, log);
  const peerRegistry = createPeerRegistry(clock);
  const backendDirectory = createBackendDirectory(clock);
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

  let lastLoanNumber = 0;
  const findOrganisation = (name: string) =>
    controlState.get().accepted?.bundle.organisations.find((item) => item.name === name);
  const rateLimiter = createRateLimiter({
    clock,
    createId: () => `${incarnation}.${++lastLoanNumber}`,
    listLenders: (name) => {
      const organisation = findOrganisation(name);
      return organisation === undefined ? [] : peerRegistry.listLenders(organisation);
    },
    requestLoan: async (peer, request, timeoutMs) => {
      const reply = await network.requestLoan(peer, request, timeoutMs);
      if (reply !== undefined) peerRegistry.recordLevel(peer, request.organisation, reply.level);
      return reply;
    },
    sendSettlement: (peer, settlement) => void network.send(peer, settlement),
  });

  const pullControlState = createControlStatePuller({
    controlState,
    peers: () => network,
    needsLedger: isServiceUnreachable,
  });
  const network: PeerNetwork = await openPeerNetwork({
    host,
    incarnation,
    address: settings.address,
    port: settings.peerPort,
    secret: settings.peerSecret,
    log,
    handlers: {
      handleHeartbeat: (heartbeat) => {
        peerRegistry.recordHeartbeat(heartbeat);
        pullControlState(heartbeat);
      },
      grantLoan: rateLimiter.grantLoan,
      settleLoan: rateLimiter.settleLoan,
      collectControlState: (request) => buildControlStateReply(controlState, request),
      acceptWithdrawals: ({ signed }) => void applyWithdrawals(signed),
    },
  });

  /** Applies signed withdrawals, and sends them to all peers immediately if any was new. */
  async function applyWithdrawals(signed: readonly string[]): Promise<void> {
    if (!(await controlState.offerWithdrawals(signed))) return;
    for (const peer of network.listConnected())
      network.send(peer, { type: 'withdrawalNotice', signed: [...signed] });
  }

  const listPeerIds = (): string[] =>
    backendDirectory
      .listHosts()
      .filter(({ role, id }) => role === HostRole.entry && id !== host)
      .map(({ id }) => id);
  const isInContact = (): boolean =>
    !isIsolated(
      {
        keyValueServiceAtMs,
        peersAtMs: peerRegistry.listContactTimes(),
        listedPeers: listPeerIds(),
      },
      clock.monotonicMs(),
      settings.isolationTimeoutMs,
    );

  const buildHeartbeat = (): Heartbeat => {
    const { accepted, withdrawalsDigest, ledgerRevision } = controlState.get();
    return {
      type: 'heartbeat',
      host,
      incarnation,
      bundleVersion: accepted?.bundle.version ?? 0,
      withdrawalsDigest,
      ledgerRevision,
      levels: rateLimiter.getLevels(),
      inFlight: dispatcher.getInFlight(),
      demand: demand.list(),
      refused: refusalCounter.list(),
      slots: rateLimiter.countSlots(),
    };
  };
  const sendHeartbeats = (): void => {
    const heartbeat = buildHeartbeat();
    for (const peer of network.listConnected()) network.send(peer, heartbeat);
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
      ...collectStatus(buildHeartbeat(), peerRegistry.listAlive(), controlState.get()),
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
  const startSlotMaintenance = async (): Promise<void> => {
    // Bucket levels are restored together with the slots, but only for organisations of a known bundle.
    while (!signal.aborted && controlState.get().accepted === undefined)
      await wait(BUNDLE_POLL_INTERVAL_MS);
    await maintainSlots({
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
  };
  const slotTask = startSlotMaintenance();
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
