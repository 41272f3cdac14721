import type { BackendServerClient } from '../../adapters/backendServer/index.js';
import type { ClaimStore } from '../../coordination/createClaimStore/index.js';
import type { DemandMeter } from '../../coordination/createDemandMeter/index.js';
import type { Dispatcher } from '../../coordination/createDispatcher/index.js';
import type { ControlState } from '../../coordination/createControlState/index.js';
import type { RateLimiter } from '../../coordination/createRateLimiter/index.js';
import type { RetryBudget } from '../../coordination/createRetryBudget/index.js';
import type { Organisation, RequestClass } from '../../decisions/bundle/types.js';
import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';
import type { EntrySettings } from './settings.js';
import type { ActiveRequests } from './_lib/createActiveRequests.js';
import type { BackendDirectory } from './_lib/createBackendDirectory.js';
import type { RefusalCounter } from './_lib/createRefusalCounter.js';

/** What the handlers of callers' requests share. */
export interface EntryContext {
  settings: EntrySettings;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  controlState: ControlState;
  rateLimiter: RateLimiter;
  dispatcher: Dispatcher;
  claims: ClaimStore;
  backendClient: BackendServerClient;
  retryBudget: RetryBudget;
  demand: DemandMeter;
  backendDirectory: BackendDirectory;
  activeRequests: ActiveRequests;
  refusalCounter: RefusalCounter;
  /** False while this host can't know whether keys were withdrawn. */
  isInContact: () => boolean;
}

/** Who sent a request, as its key says. */
export interface Caller {
  organisation: Organisation;
  keyDigest: string;
  /** The key itself, only to make sure that it goes no further. */
  key: string;
}

/** What a request is to be charged and how long it may wait. */
export interface AdmissionParameters {
  tokens: number;
  class: RequestClass;
  deadlineAtMs: number;
}

/** What became of a request, for log and metrics. */
export interface RequestRecord {
  organisation?: string;
  backendServer?: string;
  target?: string;
  outcome?: string;
  code?: string;
  status?: number;
  attempts?: number;
  tokens?: number;
}
