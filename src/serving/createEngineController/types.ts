import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { ModelOrderClient } from '../../ports/modelOrderClient.js';
import type { BackendServer, EnginePool } from '../../ports/serving.js';
import type { ServingMetrics } from '../createServingMetrics/index.js';
import type { AdapterGrant } from '../types.js';

/** What ordering one engine needs. */
export interface EngineControllerOptions {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  orders: ModelOrderClient;
  holder: string;
  fence: number;
  /** Makes sure that this host may order now. */
  confirmLeadership: () => Promise<boolean>;
  isInUse: (server: string, adapter: string) => boolean;
  server: BackendServer;
  pool: EnginePool;
  /** Waits for some milliseconds; tests pass a time of their own. */
  waitMilliseconds?: (milliseconds: number) => Promise<unknown>;
}

/** What the holder of the command knows of one engine, and its orders to it, one at a time. */
export interface EngineController {
  /** Takes what the engine says of itself, as far as it is not older than its last order. */
  setServer: (server: BackendServer) => void;
  setPool: (pool: EnginePool) => void;
  getServer: () => BackendServer;
  listModels: () => string[];
  listAdapters: () => string[];
  listUnloadingModels: () => string[];
  getLoadingModel: () => string | undefined;
  /** Megabytes taken by what is there, coming or leaving, and by room for adapters. */
  computeUsedMb: () => number;
  isFree: () => boolean;
  /** Has an adapter loaded; undefined when it can't be now. */
  acquireAdapter: (model: string, adapter: string) => Promise<AdapterGrant | undefined>;
  /** Takes that an adapter, as `MODEL/ADAPTER`, was found missing; the next order looks first. */
  recordMissingAdapter: (adapter: string) => void;
  /** Unloads some models, then loads one; settles when the load has begun, or can't. */
  replaceModels: (load: string, unload: readonly string[]) => Promise<boolean>;
  /** Sends no more orders, as the engine is gone or has started anew. */
  close: () => void;
}
