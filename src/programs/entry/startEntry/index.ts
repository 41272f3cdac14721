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
import type { EntryContext } from '../types.js';

/** A running entry host. */
export interface EntryHost {
  callerPort: number;
  peerPort: number;
  operatorPort: number;
  /** Stops without cutting a request: not ready first, then no new connections, then the rest. */
  stop: () => Promise<void>;
}

/** Time in milliseconds without an answer after which the service counts as away. */
const SERVICE_AWAY_MS = 2000;
const BUNDLE_WAIT_MS = 50;

/** Starts an entry host; settles once it listens. */
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

  let serviceAtMs = -Infinity;
  const service = createEtcdKeyValueService(settings.keyValueService, {
    timeoutMs: settings.keyValueTimeoutMs,
    onCall: (kind) => metrics.increment('key_value_calls', 1, { kind }),
    onResponse: () => {
      serviceAtMs = clock.monotonicMs();
    },
  });
  const isServiceAway = (): boolean => clock.monotonicMs() - serviceAtMs > SERVICE_AWAY_MS;

  const controlState = createControlState(settings.operatorKeys, log);
  const book = createPeerRegistry(clock);
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
    listCandidates: (target) => backendDirectory.listCandidates(target, book.getInFlight()),
  });

  let loanCount = 0;
  const findOrganisation = (name: string) =>
    controlState.get().accepted?.bundle.organisations.find((item) => item.name === name);
  const rateLimiter = createRateLimiter({
    clock,
    createId: () => `${incarnation}.${++loanCount}`,
    listLenders: (name) => {
      const organisation = findOrganisation(name);
      return organisation === undefined ? [] : book.listLenders(organisation);
    },
    requestLoan: async (peer, request, timeoutMs) => {
      const reply = await network.requestLoan(peer, request, timeoutMs);
      if (reply !== undefined) book.recordLevel(peer, request.organisation, reply.level);
      return reply;
    },
    sendSettlement: (peer, settlement) => void network.send(peer, settlement),
  });

  const pullFacts = createControlStatePuller({
    controlState,
    peers: () => network,
    needsLedger: isServiceAway,
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
        book.recordHeartbeat(heartbeat);
        pullFacts(heartbeat);
      },
      grantLoan: rateLimiter.grantLoan,
      settleLoan: rateLimiter.settleLoan,
      collectControlState: (request) => buildControlStateReply(controlState, request),
      acceptWithdrawals: ({ signed }) => void applyWithdrawals(signed),
    },
  });

  /** Takes withdrawals and passes them on at once if any was new. */
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
      { serviceAtMs, peersAtMs: book.listContactTimes(), listedPeers: listPeerIds() },
      clock.monotonicMs(),
      settings.cutOffAfterMs,
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
  const callers = await openCallerServer({
    address: settings.address,
    port: settings.callerPort,
    limits: settings,
    clock,
    handle: (request) => handleRequest(context, { getUnreadyReason }, request),
  });
  const operators = await openOperatorServer({
    settings,
    clock,
    operatorKeys: settings.operatorKeys,
    collectStatus: () => ({
      ...collectStatus(buildHeartbeat(), book.listAlive(), controlState.get()),
      peerBytesSent: network.countBytesSent(),
    }),
    applyWithdrawals,
  });

  const heartbeats = setInterval(sendHeartbeats, settings.heartbeatMs);
  const following = [
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
  const holdSlots = async (): Promise<void> => {
    // Levels come back with slots only for organisations that the bundle has made known.
    while (!signal.aborted && controlState.get().accepted === undefined) await wait(BUNDLE_WAIT_MS);
    await maintainSlots({
      service,
      limiter: rateLimiter,
      clock,
      log,
      host,
      endpoint: `${settings.address}:${network.port}`,
      incarnation,
      leaseSeconds: settings.shareTermSeconds,
      countLiveHosts: () => book.listAlive().length + 1,
      signal,
    });
  };
  const slotsHeld = holdSlots();
  log.info(
    { callerPort: callers.port, peerPort: network.port, operatorPort: operators.port, incarnation },
    'listening',
  );

  const stop = async (): Promise<void> => {
    log.info({ active: activeRequests.count() }, 'planned stop begins');
    isDraining = true;
    await wait(settings.drainMs);
    await callers.stop();
    await activeRequests.waitUntilEmpty();
    await claims.waitUntilIdle();
    stopping.abort();
    await slotsHeld;
    clearInterval(heartbeats);
    dispatcher.stop();
    await Promise.all(following);
    await operators.stop();
    await network.close();
    await backendClient.close();
    await service.close();
    metrics.close();
    log.info({}, 'planned stop done');
  };
  return { callerPort: callers.port, peerPort: network.port, operatorPort: operators.port, stop };
}
