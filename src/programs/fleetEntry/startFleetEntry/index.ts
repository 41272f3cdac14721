import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { formatError } from '../../../errors/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { FleetStore } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';
import type { ModelOrderClient } from '../../../ports/modelOrderClient.js';
import type {
  BackendClient,
  BackendServer,
  CallerListener,
  CallerResponse,
  ServingConfiguration,
  ServingRequest,
} from '../../../ports/serving.js';
import { createFleetMember } from '../../../serving/createFleetMember/index.js';
import { StoreWatch } from '../../../serving/createFleetMember/types.js';
import { createOrganisationRateLimiter } from '../../../serving/createOrganisationRateLimiter/index.js';
import { createServiceRetryBudget } from '../../../serving/createServiceRetryBudget/index.js';
import { createServerRegistry } from '../../../serving/createServerRegistry/index.js';
import { watchPrefix } from '../../../serving/watchPrefix/index.js';
import { watchServers } from '../../../serving/watchServers/index.js';
import { maintainMembership, type Membership } from '../../../serving/maintainMembership/index.js';
import { serveRequest } from '../../../serving/serveRequest/index.js';
import type { ServingMetrics } from '../../../serving/createServingMetrics/index.js';
import type { ServingContext } from '../../../serving/types.js';

/** What a host is given: ports that an adapter fills, and bounds of the deployment. */
export interface FleetEntryOptions {
  host: string;
  dataCentre: string;
  address: string;
  peerPort: number;
  /** Bandwidth of this host's link. */
  linkMbps: number;
  clock: Clock;
  log: Log;
  random: () => number;
  metrics: ServingMetrics;
  store: FleetStore;
  backendClient: BackendClient;
  orders: ModelOrderClient;
  /** Creates the server that callers reach. */
  createCallerListener: (
    serve: (request: ServingRequest, reply: CallerResponse) => void,
  ) => CallerListener;
  configuration: { key: string; prefix: string; decode: (value: Buffer) => ServingConfiguration };
  servers: { prefix: string; decode: (id: string, value: Buffer) => BackendServer };
  settings: DeploymentSettings;
}

/** Bounds that a deployment sets. */
export interface DeploymentSettings {
  retryRatio: number;
  fixedRetries: number;
  retryWindowMs: number;
  handoverMs: number;
  /** Longest time that a planned stop may take. */
  gracePeriodMs: number;
}

/** A running host. */
export interface FleetEntry {
  callerPort: number;
  isReady: () => boolean;
  stop: () => Promise<void>;
}

const LEASE_TTL_MS = 2000; // nobody orders engines until a dead holder's lease has ended
const CONFIGURATION_PAUSE_MS = 100;
const UNSEEN_MS = 2500; // the balancer asks each second and takes a host out after two misses
const REFUSE_MS = 2700; // callers who send later find a host that has been out of rotation for long
const GRACE_MARGIN_MS = 700;
const STOP_POLL_MS = 50;

/** Starts a host: follows the store, keeps its part in the fleet, and serves once it knows enough. */
export async function startFleetEntry(options: FleetEntryOptions): Promise<FleetEntry> {
  const { host, clock, log, metrics, store, settings } = options;
  const incarnation = randomUUID();
  const stopping = new AbortController();
  const { signal } = stopping;
  const serverRegistry = createServerRegistry({ clock, log, dataCentre: options.dataCentre });
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

  const takeConfiguration = (value: Buffer, source: string): void => {
    try {
      const next = options.configuration.decode(value);
      if (next.version <= (configuration?.version ?? -1)) return;
      log.info(
        { version: next.version, before: configuration?.version, source },
        'configuration in force',
      );
      configuration = next;
      serverRegistry.setConfiguration(next);
      part.setConfiguration(next, value);
      callers.setConfiguration(next);
    } catch (error) {
      log.error(
        { source, version: configuration?.version, error: formatError(error).slice(0, 500) },
        'configuration can not be read, the last one stays',
      );
    }
  };

  const part = createFleetMember({
    clock,
    log,
    metrics,
    orders: options.orders,
    serverRegistry,
    rateLimiter,
    retryBudget,
    host,
    incarnation,
    membership: (): Membership => membership,
    onConfiguration: (value) => takeConfiguration(Buffer.from(value), 'peer'),
    onServers: (changed, removed) => servers.applyLeaderChanges(changed, removed),
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
    placement: part.placement,
    recordModelUse: part.recordModelUse,
    getConfigurationVersion: () => configuration?.version ?? 0,
  };
  const callers = options.createCallerListener((request, reply) => {
    serveRequest(context, request, reply).catch((error: unknown) => {
      log.error(
        { requestId: request.id, error: formatError(error) },
        'request failed unexpectedly',
      );
      reply.resetConnection();
    });
  });
  const peerPort = await part.listen(options.address, options.peerPort);
  const callerPort = await callers.listen();

  const membership = maintainMembership({
    store,
    clock,
    log,
    random: options.random,
    self: { name: host, address: options.address, port: peerPort, linkMbps: options.linkMbps },
    incarnation,
    ttlMs: LEASE_TTL_MS,
    handoverMs: settings.handoverMs,
    signal,
    feed: part,
    onStoreResponse: () => part.recordStoreResponse(StoreWatch.fleet),
    onHosts: part.setHosts,
    onLeadershipChange: part.setLeadership,
  });
  void watchPrefix({
    store,
    prefix: options.configuration.prefix,
    log,
    signal,
    pauseMs: CONFIGURATION_PAUSE_MS,
    onSnapshot: (items) => {
      for (const { key, value } of items)
        if (key === options.configuration.key) takeConfiguration(value, 'store');
    },
    onChanges: (changes) => {
      for (const { key, value } of changes)
        if (key === options.configuration.key && value !== undefined)
          takeConfiguration(value, 'store');
    },
    onStoreResponse: () => part.recordStoreResponse(StoreWatch.configuration),
    feed: part,
  });
  const servers = watchServers({
    store,
    prefix: options.servers.prefix,
    clock,
    log,
    signal,
    decode: options.servers.decode,
    onServers: (known) => {
      hasServers = true;
      serverRegistry.setServers(known);
      part.setServers(known);
      options.backendClient.retainConnections(
        new Set([...known.values()].map(({ incarnation: id }) => id)),
      );
    },
    onStoreResponse: () => part.recordStoreResponse(StoreWatch.servers),
    feed: part,
  });
  log.info({ incarnation, address: options.address, peerPort, callerPort }, 'started');

  const stop = async (): Promise<void> => {
    isStopping = true;
    const startedAtMs = clock.monotonicMs();
    const lastMs = startedAtMs + settings.gracePeriodMs - GRACE_MARGIN_MS;
    log.info({ active: callers.countActive() }, 'planned stop begins');
    callers.startDraining();
    await membership.leave();
    await wait(UNSEEN_MS);
    callers.stopListening();
    await wait(REFUSE_MS - UNSEEN_MS);
    callers.startRejecting();
    while (callers.countActive() > 0 && clock.monotonicMs() < lastMs) await wait(STOP_POLL_MS);
    stopping.abort();
    part.close();
    options.backendClient.close();
    await store.close();
    log.info(
      { active: callers.countActive(), tookMs: Math.round(clock.monotonicMs() - startedAtMs) },
      'planned stop done',
    );
  };
  return {
    callerPort,
    isReady: () => !isStopping && configuration !== undefined && hasServers,
    stop,
  };
}
