import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { createBackendServers } from '../../../adapters/backendServer/index.js';
import { openCallerServer } from '../../../adapters/callerHttp/index.js';
import { systemClock } from '../../../adapters/clock/index.js';
import { createHttpHostList } from '../../../adapters/hostList/index.js';
import { createEtcdKeyValueService } from '../../../adapters/keyValueService/index.js';
import { createLog } from '../../../adapters/log/index.js';
import { createMetrics } from '../../../adapters/metrics/index.js';
import { openPeerNetwork, type PeerNetwork } from '../../../adapters/peer/index.js';
import { createClaimKeeper } from '../../../coordination/createClaimKeeper/index.js';
import { createDemandMeter } from '../../../coordination/createDemandMeter/index.js';
import { createDispatcher } from '../../../coordination/createDispatcher/index.js';
import { createFacts } from '../../../coordination/createFacts/index.js';
import { createRateLimiter } from '../../../coordination/createRateLimiter/index.js';
import { createRetryBudget } from '../../../coordination/createRetryBudget/index.js';
import { followService } from '../../../coordination/followService/index.js';
import { keepSlots } from '../../../coordination/keepSlots/index.js';
import { isCutOff } from '../../../decisions/membership/isCutOff/index.js';
import { HostRole } from '../../../ports/hostList.js';
import type { Heartbeat } from '../../../ports/peers.js';
import { collectStatus } from '../_lib/collectStatus.js';
import { createActiveRequests } from '../_lib/createActiveRequests.js';
import { createDirectory } from '../_lib/createDirectory.js';
import { createPeerBook } from '../_lib/createPeerBook.js';
import { createRefusalCounter } from '../_lib/createRefusalCounter.js';
import { followHostList } from '../_lib/followHostList.js';
import { collectFacts, createFactsPuller } from '../_lib/followPeers.js';
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
    onAnswer: () => {
      serviceAtMs = clock.monotonicMs();
    },
  });
  const isServiceAway = (): boolean => clock.monotonicMs() - serviceAtMs > SERVICE_AWAY_MS;

  const facts = createFacts(settings.operatorKeys, log);
  const book = createPeerBook(clock);
  const directory = createDirectory(clock);
  const demand = createDemandMeter(clock);
  const refusals = createRefusalCounter(clock);
  const active = createActiveRequests();
  const claims = createClaimKeeper({ service, clock, log });
  const backends = createBackendServers({
    connectMs: settings.connectTimeoutMs,
    headersMs: settings.backendHeadersTimeoutMs,
    bodyMs: settings.backendBodyTimeoutMs,
  });
  const dispatcher = createDispatcher({
    clock,
    listCandidates: (target) => directory.listCandidates(target, book.getLoads()),
  });

  let loanCount = 0;
  const findOrganisation = (name: string) =>
    facts.get().accepted?.bundle.organisations.find((item) => item.name === name);
  const limiter = createRateLimiter({
    clock,
    createId: () => `${incarnation}.${++loanCount}`,
    listLenders: (name) => {
      const organisation = findOrganisation(name);
      return organisation === undefined ? [] : book.listLenders(organisation);
    },
    askForLoan: async (peer, request, timeoutMs) => {
      const reply = await network.askForLoan(peer, request, timeoutMs);
      if (reply !== undefined) book.recordLevel(peer, request.organisation, reply.level);
      return reply;
    },
    sendSettlement: (peer, settlement) => void network.send(peer, settlement),
  });

  const pullFacts = createFactsPuller({ facts, peers: () => network, needsLedger: isServiceAway });
  const network: PeerNetwork = await openPeerNetwork({
    host,
    incarnation,
    address: settings.address,
    port: settings.peerPort,
    secret: settings.peerSecret,
    log,
    handlers: {
      handleHeartbeat: (heartbeat) => {
        book.record(heartbeat);
        pullFacts(heartbeat);
      },
      grantLoan: limiter.grantLoan,
      settleLoan: limiter.settleLoan,
      collectFacts: (request) => collectFacts(facts, request),
      takeWithdrawals: ({ signed }) => void takeWithdrawals(signed),
    },
  });

  /** Takes withdrawals and passes them on at once if any was new. */
  async function takeWithdrawals(signed: readonly string[]): Promise<void> {
    if (!(await facts.offerWithdrawals(signed))) return;
    for (const peer of network.listConnected())
      network.send(peer, { type: 'withdrawalNotice', signed: [...signed] });
  }

  const listPeerIds = (): string[] =>
    directory
      .listHosts()
      .filter(({ role, id }) => role === HostRole.entry && id !== host)
      .map(({ id }) => id);
  const isInTouch = (): boolean =>
    !isCutOff(
      { serviceAtMs, peersAtMs: book.listContacts(), listedPeers: listPeerIds() },
      clock.monotonicMs(),
      settings.cutOffAfterMs,
    );

  const buildHeartbeat = (): Heartbeat => {
    const { accepted, withdrawalsDigest, ledgerRevision } = facts.get();
    return {
      type: 'heartbeat',
      host,
      incarnation,
      bundleVersion: accepted?.bundle.version ?? 0,
      withdrawalsDigest,
      ledgerRevision,
      levels: limiter.getLevels(),
      inFlight: dispatcher.getInFlight(),
      demand: demand.list(),
      refused: refusals.list(),
      slots: limiter.countSlots(),
    };
  };
  const sendHeartbeats = (): void => {
    const heartbeat = buildHeartbeat();
    for (const peer of network.listConnected()) network.send(peer, heartbeat);
    dispatcher.update();
  };

  let bundle = facts.get().accepted?.bundle;
  facts.watch((snapshot) => {
    directory.setFacts(snapshot);
    if (snapshot.accepted?.bundle !== bundle) {
      bundle = snapshot.accepted?.bundle;
      limiter.setOrganisations(bundle?.organisations ?? []);
    }
    active.endWithdrawn((keyDigest) => snapshot.keyIndex.has(keyDigest));
    dispatcher.update();
    if (!signal.aborted) sendHeartbeats();
  });

  const context: EntryContext = {
    settings,
    clock,
    log,
    metrics,
    facts,
    limiter,
    dispatcher,
    claims,
    backends,
    retryBudget: createRetryBudget(),
    demand,
    directory,
    active,
    refusals,
    isInTouch,
  };
  let isDraining = false;
  const getUnreadyReason = (): string | undefined => {
    if (isDraining) return 'stopping';
    if (facts.get().accepted === undefined) return 'no bundle';
    return isInTouch() ? undefined : 'out of touch';
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
      ...collectStatus(buildHeartbeat(), book.listAlive(), facts.get()),
      peerBytesSent: network.countBytesSent(),
    }),
    takeWithdrawals,
  });

  const heartbeats = setInterval(sendHeartbeats, settings.heartbeatMs);
  const following = [
    followService({ service, facts, log, signal }),
    followHostList({
      hostList: createHttpHostList(settings.hostList),
      pollMs: settings.hostListPollMs,
      log,
      onHosts: (hosts) => {
        directory.setHosts(hosts);
        network.setListed(hosts.filter(({ role }) => role === HostRole.entry));
        dispatcher.update();
      },
      signal,
    }),
  ];
  const holdSlots = async (): Promise<void> => {
    // Levels come back with slots only for organisations that the bundle has made known.
    while (!signal.aborted && facts.get().accepted === undefined) await wait(BUNDLE_WAIT_MS);
    await keepSlots({
      service,
      limiter,
      clock,
      log,
      host,
      endpoint: `${settings.address}:${network.port}`,
      incarnation,
      termSeconds: settings.shareTermSeconds,
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
    log.info({ active: active.count() }, 'planned stop begins');
    isDraining = true;
    await wait(settings.drainMs);
    await callers.stop();
    await active.waitUntilEmpty();
    await claims.waitUntilIdle();
    stopping.abort();
    await slotsHeld;
    clearInterval(heartbeats);
    dispatcher.stop();
    await Promise.all(following);
    await operators.stop();
    await network.close();
    await backends.close();
    await service.close();
    metrics.close();
    log.info({}, 'planned stop done');
  };
  return { callerPort: callers.port, peerPort: network.port, operatorPort: operators.port, stop };
}
