import type { Clock } from '../ports/clock.js';
import type { Log } from '../ports/log.js';
import type { BackendClient } from '../ports/serving.js';
import type { OrganisationRateLimiter } from './createOrganisationRateLimiter/index.js';
import type { ServiceRetryBudget } from './createServiceRetryBudget/index.js';
import type { ServerRegistry } from './createServerRegistry/index.js';
import type { ServingMetrics } from './createServingMetrics/index.js';

/** A request for an adapter on one of some engines, the most wanted first. */
export interface AdapterRequest {
  model: string;
  adapter: string;
  servers: readonly string[];
  /** Servers that said that they lack it. */
  missing: readonly string[];
}

/** Where an adapter will be, and in how many milliseconds. */
export interface AdapterGrant {
  server: string;
  readyInMs: number;
}

/** What serving asks of the host that places models. */
export interface PlacementClient {
  /** Undefined when no engine can take the adapter now, or nobody places. */
  requestAdapter: (wish: AdapterRequest) => Promise<AdapterGrant | undefined>;
  /** Counts work that was asked of a model or adapter. */
  recordDemand: (service: string, model: string, work: number) => void;
  /** Estimates when a model that no engine holds will be there; undefined when nobody places. */
  estimateModelMs: (service: string, model: string) => number | undefined;
  /** Settles once an engine may hold the model, or after the given time. */
  waitForModel: (service: string, model: string, waitMs: number) => Promise<void>;
}

/** What serving requests needs. */
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
  /** Notes that a request uses a model or adapter on a server, or has left it. */
  recordModelUse: (server: string, name: string, change: 1 | -1) => void;
  getConfigurationVersion: () => number;
}
