import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { ModelOrderClient } from '../../ports/modelOrderClient.js';
import type { BackendServer, EnginePool } from '../../ports/serving.js';
import type { ServingMetrics } from '../createServingMetrics/index.js';
import type { AdapterGrant, GrantWait } from '../types.js';

/** Options of an engine controller. */
export interface EngineControllerOptions {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  orders: ModelOrderClient;
  /** Name of this host. */
  holder: string;
  /** Fencing token of this host's leadership. */
  fence: number;
  /** Confirms that this host is still the leader and may send orders. */
  confirmLeadership: () => Promise<boolean>;
  /** Whether this host is known to be the leader at this moment, without asking the store. */
  isLeadershipConfirmed: () => boolean;
  /** Whether requests in flight use an adapter, given as `MODEL/ADAPTER`, on a server. */
  isInUse: (server: string, adapter: string) => boolean;
  /** Milliseconds for which a server wants no requests of this host, by incarnation. */
  getPauseMs: (incarnation: string) => number;
  /** Whether nothing may be sent to the engines of a data centre; never by default. */
  isEvacuated?: (dataCentre: string) => boolean;
  server: BackendServer;
  pool: EnginePool;
  /** Timer that can be replaced by virtual time in tests. */
  waitMilliseconds?: (milliseconds: number) => Promise<unknown>;
}

/** The leader's state of one engine; sends it load and unload orders, one at a time. */
export interface EngineController {
  /**
   * Updates the engine's registration. Registrations lag: models that differ some time after the
   * last order make the next order refresh the state first.
   */
  setServer: (server: BackendServer) => void;
  /** Sets the properties that all engines of the service share. */
  setPool: (pool: EnginePool) => void;
  getServer: () => BackendServer;
  /** Lists the loaded models that are not about to be unloaded. */
  listModels: () => string[];
  /** Lists the loaded adapters, as `MODEL/ADAPTER`. */
  listAdapters: () => string[];
  listUnloadingModels: () => string[];
  getLoadingModel: () => string | undefined;
  /** Memory of loaded, loading and unloading models and of all adapter slots, in megabytes. */
  computeUsedMb: () => number;
  /** Megabytes of the loaded models that the configuration does not list, by name. */
  listDelistedMb: () => ReadonlyMap<string, number>;
  /** Whether the engine can start replacing models now. */
  isFree: () => boolean;
  /**
   * Grants an adapter, loading it if needed; undefined when it cannot be loaded now, or not while a
   * caller waits for it.
   */
  acquireAdapter: (
    model: string,
    adapter: string,
    wait?: GrantWait,
  ) => Promise<AdapterGrant | undefined>;
  /** Records that a host found `MODEL/ADAPTER` missing, to be checked before the next order. */
  recordMissingAdapter: (adapter: string) => void;
  /** Unloads some models, then loads one; resolves to whether that one is loaded. */
  replaceModels: (load: string, unload: readonly string[]) => Promise<boolean>;
  /** Stops sending orders and abandons the one in flight: the engine is gone, or another host may lead. */
  close: () => void;
}
