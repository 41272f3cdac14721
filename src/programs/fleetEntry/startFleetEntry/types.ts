import type { ServerNotices } from '../../../serving/createServerNotices/index.js';
import type { LoadOptions } from '../../../serving/loadOptions.js';
import type { ServingMetrics } from '../../../serving/createServingMetrics/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { StoreClient } from '../../../ports/fleetStore.js';
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

/** Options of a fleet host: its identity, the adapters of its ports and the settings of the deployment. */
export interface FleetEntryOptions {
  host: string;
  dataCentre: string;
  address: string;
  peerPort: number;
  /** Bandwidth of this host's network link in Mbit/s. */
  linkMbps: number;
  clock: Clock;
  log: Log;
  random: () => number;
  metrics: ServingMetrics;
  store: StoreClient;
  backendClient: BackendClient;
  orders: ModelOrderClient;
  /** What servers say of themselves in the responses that `backendClient` and `orders` receive. */
  serverNotices: ServerNotices;
  /** Creates the server to which callers connect. */
  createCallerListener: (
    serve: (request: ServingRequest, response: CallerResponse) => void,
  ) => CallerListener;
  /** Store key and watched prefix of the configuration, and the decoder of its value. */
  configuration: { key: string; prefix: string; decode: (value: Buffer) => ServingConfiguration };
  /**
   * Store prefix of the keys that evacuate data centres, each followed by the name of one; within the
   * prefix of the configuration. Undefined in a deployment without evacuations.
   */
  evacuationPrefix?: string;
  /** Store prefix of the registered backend servers, and the decoder of their values. */
  servers: { prefix: string; decode: (id: string, value: Buffer) => BackendServer };
  settings: DeploymentSettings;
}

/** Settings of a deployment. */
export interface DeploymentSettings {
  /** Retries allowed per request. */
  retryRatio: number;
  /** Additional retries allowed per window. */
  fixedRetries: number;
  retryWindowMs: number;
  /** Time after a change of leader until orders of the previous one can no longer take effect. */
  handoverMs: number;
  /** Maximum duration of a planned stop. */
  gracePeriodMs: number;
  /** Time within which a change in the store must be in force on all hosts. */
  maximumStalenessMs: number;
  /** Time between two renewals of the registration of a backend server. */
  registrationIntervalMs: number;
  /** Longest body of a response that is no stream. */
  maximumResponseBytes: number;
  load: LoadOptions;
  /** Whether the whole fleet starts for the first time, before callers come. */
  isFirstStart: boolean;
}

/** A running fleet host. */
export interface FleetEntry {
  callerPort: number;
  /** Whether the host has a configuration and the list of backend servers, and is not stopping. */
  isReady: () => boolean;
  /** Leaves the fleet and drains: lets active requests finish until shortly before the grace period ends. */
  stop: () => Promise<void>;
}
