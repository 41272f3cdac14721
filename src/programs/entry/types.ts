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

/** Dependencies shared by the handlers of callers' requests. */
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
  /** False while this host is isolated, so that it may have missed key withdrawals. */
  isInContact: () => boolean;
}

/** Sender of a request, identified by its API key. */
export interface Caller {
  organisation: Organisation;
  keyDigest: string;
  /** The key in plain text, kept only to check that a request does not expose it to a backend server. */
  key: string;
}

/** Charge, class and deadline with which a request asks for admission. */
export interface AdmissionParameters {
  tokens: number;
  class: RequestClass;
  deadlineAtMs: number;
}

/** Result of a request, for the log and metrics. */
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

/** A running entry host. */
export interface EntryHost {
  callerPort: number;
  peerPort: number;
  operatorPort: number;
  /** Drains and stops: reports not ready, then refuses connections, then waits for active requests to end. */
  stop: () => Promise<void>;
}
