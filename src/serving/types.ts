import type { Clock } from '../ports/clock.js';
import type { Log } from '../ports/log.js';
import type { BackendClient, BackendServer } from '../ports/serving.js';
import type { AdmissionControl } from './createAdmissionControl/index.js';
import type { CrashEvidence } from './createCrashEvidence/index.js';
import type { Evacuations } from './createEvacuations/index.js';
import type { OrganisationRateLimiter } from './createOrganisationRateLimiter/index.js';
import type { ServiceRetryBudget } from './createServiceRetryBudget/index.js';
import type { ServerNotices } from './createServerNotices/index.js';
import type { ServerPaces } from './createServerPaces/index.js';
import type { ServerRegistry, TrackedRequest } from './createServerRegistry/index.js';
import type { HeldBytes } from './createHeldBytes/index.js';
import type { HostQueue } from './createHostQueue/index.js';
import type { LoadOptions } from './loadOptions.js';
import type { ConcurrencyLimits } from './createConcurrencyLimits/index.js';
import type { StreamVersions } from './createStreamVersions/index.js';
import type { ServingMetrics } from './createServingMetrics/index.js';

/** A request to load an adapter on one of some engines, which are in order of preference. */
export interface AdapterRequest {
  model: string;
  adapter: string;
  servers: readonly string[];
  /** Servers that rejected a request for lack of the adapter. */
  missing: readonly string[];
}

/** The engine on which an adapter is loaded, and the milliseconds until it is ready. */
export interface AdapterGrant {
  server: string;
  readyInMs: number;
}

/** Longest wait for the grant of an adapter, at the host that leads and at the others. */
export const GRANT_TIMEOUT_MS = 700; // one order, one refresh of the engine's state and two messages

/** How long one caller can use the grant of an adapter. */
export interface CallerWait {
  /** Milliseconds until the request has to be answered. */
  remainingMs: number;
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
}

/** How long a grant is of use to the callers that wait for it. */
export interface GrantWait {
  /** Monotonic time after which no caller waits any more. */
  untilMs: number;
  /** Whether a caller still waits. */
  isWanted: () => boolean;
}

/** Requests to the leader, which places models and adapters on engines. */
export interface PlacementClient {
  /**
   * Asks for an adapter; undefined when no engine can load it in time, there is no leader, or the
   * caller has disconnected.
   */
  requestAdapter: (request: AdapterRequest, wait: CallerWait) => Promise<AdapterGrant | undefined>;
  /** Adds a request's work, in equivalent prompt tokens, to the demand for a model. */
  recordDemand: (service: string, model: string, work: number) => void;
  /** Milliseconds until a further replica of a model is expected to be loaded; 0 when none is being loaded. */
  getLoadingMs: (service: string, model: string) => number;
  /** Estimates the milliseconds until a missing model is loaded; undefined without a leader. */
  estimateModelMs: (service: string, model: string) => number | undefined;
  /**
   * Settles once an engine holds the model, after the given time, when the signal aborts, or once a
   * stopping host sends nothing any more.
   */
  waitForModel: (
    request: { service: string; model?: string },
    waitMs: number,
    signal: AbortSignal,
    getLastSendAtMs: () => number,
  ) => Promise<void>;
}

/** A group of quarantined prompt parts as it is stored, so that it outlives the processes. */
export interface SavedPartGroup {
  parts: readonly string[];
  crashes: number;
  trials: number;
  confirmations: number;
  wasServed: boolean;
}

/** Prompt parts that crash servers, as requests use them. */
export interface QuarantineClient extends Pick<
  CrashEvidence,
  'listQuarantined' | 'recordCrash' | 'recordServed'
> {
  /** Asks whether a request with quarantined parts may be sent; false without a leader. */
  requestTrial: (parts: readonly string[]) => Promise<boolean>;
}

/** Keeps the request limits of servers, which hold for all hosts together. */
export interface RequestLimiter {
  /** Estimates the milliseconds until a server takes another request of this host; 0 without a limit. */
  getWaitMs: (incarnation: string) => number;
  /**
   * Reserves one request to a server; resolves to the milliseconds until it may be sent, or to
   * undefined where the server takes it after the given wait only.
   */
  reserve: (incarnation: string, maximumWaitMs: number) => Promise<number | undefined>;
}

/** A request that counts towards the load and the held memory of a server until it is released. */
export interface TrackedStream extends TrackedRequest {
  /** Records complete events of its response. */
  recordEvents: (events: Buffer) => void;
}

/** Dependencies of serving requests. */
export interface ServingContext {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  random: () => number;
  serverRegistry: ServerRegistry;
  backendClient: BackendClient;
  rateLimiter: OrganisationRateLimiter;
  retryBudget: ServiceRetryBudget;
  placement: PlacementClient;
  quarantine: QuarantineClient;
  requestLimiter: RequestLimiter;
  serverNotices: Pick<
    ServerNotices,
    'getRequestLimit' | 'getPauseMs' | 'getColdMs' | 'getColdAgeMs' | 'recordDisconnection'
  >;
  streamVersions: Pick<StreamVersions, 'recordBegun' | 'recordEnded' | 'findVersion'>;
  evacuations: Pick<Evacuations, 'isEvacuated' | 'getAgeMs'>;
  serverPaces: Pick<ServerPaces, 'recordStream'>;
  admission: Pick<AdmissionControl, 'recordRequest' | 'recordStream' | 'decide'>;
  concurrency: Pick<
    ConcurrencyLimits,
    'holdMemory' | 'recordStream' | 'getLimit' | 'getHeldTokens'
  >;
  /** Requests of this host that wait for a server below its limit. */
  hostQueue: Pick<HostQueue, 'isEnabled' | 'wait' | 'countAhead' | 'wake'>;
  /** Counts a request in or out of those that use a model or adapter on a server. */
  recordModelUse: (server: string, name: string, change: 1 | -1) => void;
  getConfigurationVersion: () => number;
  /** Settles when this host's servers may be chosen from; at once unless what it knows is too old. */
  refreshServers: (signal: AbortSignal) => Promise<void>;
  /** Milliseconds since this host's list of servers is known to have been complete. */
  getServersAgeMs: () => number;
  /** Whether a server may have stopped in an orderly way, as far as this host knows. */
  mayBeStopping: (server: BackendServer) => boolean;
  /**
   * Monotonic time after which nothing is sent to servers any more, as a planned stop would cut it
   * off; Infinity unless this host is stopping.
   */
  getLastSendAtMs: () => number;
  load: LoadOptions;
  /** Events that are not complete, of all responses of this host. */
  heldBytes: HeldBytes;
  /** Longest body of a response that is no stream; a longer one is cut off. */
  maximumResponseBytes: number;
}
