import type { Clock } from '../ports/clock.js';
import type { Log } from '../ports/log.js';
import type { BackendCaller } from '../ports/serving.js';
import type { OrganisationRates } from './createOrganisationRates/index.js';
import type { RepeatBudget } from './createRepeatBudget/index.js';
import type { ServerBook } from './createServerBook/index.js';
import type { ServingMetrics } from './servingMetrics/index.js';

/** A request for an adapter on one of some engines, the most wanted first. */
export interface AdapterWish {
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
export interface Placement {
  /** Undefined when no engine can take the adapter now, or nobody places. */
  askForAdapter: (wish: AdapterWish) => Promise<AdapterGrant | undefined>;
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
  book: ServerBook;
  backends: BackendCaller;
  rates: OrganisationRates;
  repeats: RepeatBudget;
  placement: Placement;
  /** Notes that a request uses a model or adapter on a server, or has left it. */
  recordUse: (server: string, name: string, change: 1 | -1) => void;
  getVersion: () => number;
}
