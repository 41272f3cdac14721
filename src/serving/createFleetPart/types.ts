import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { ModelOrders } from '../../ports/modelOrders.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import type { OrganisationRates } from '../createOrganisationRates/index.js';
import type { RepeatBudget } from '../createRepeatBudget/index.js';
import type { ServerBook } from '../createServerBook/index.js';
import type { FleetHost, Membership } from '../keepMembership/index.js';
import type { ServingMetrics } from '../servingMetrics/index.js';
import type { Placement } from '../types.js';

/** What a host watches in the store. */
export const StoreWatch = {
  configuration: 'configuration',
  servers: 'servers',
  fleet: 'fleet',
} as const;
export type StoreWatch = (typeof StoreWatch)[keyof typeof StoreWatch];

/** A host's part in the fleet: it reports to the holder of the command, or is the holder itself. */
export interface FleetPart {
  placement: Placement;
  listen: (address: string, port: number) => Promise<number>;
  setHosts: (hosts: readonly FleetHost[]) => void;
  setFence: (fence: number | undefined) => void;
  setConfiguration: (configuration: ServingConfiguration, value: Buffer) => void;
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  recordUse: (server: string, name: string, change: 1 | -1) => void;
  /** Whether another host holds the command, hears the store and is heard. */
  isFed: () => boolean;
  /** Settles once the store must be watched by this host itself. */
  waitUntilUnfed: () => Promise<void>;
  /** Notes that the store answered a call of one of the watches. */
  recordAnswer: (watch: StoreWatch) => void;
  close: () => void;
}

/** Options of a host's part in the fleet. */
export interface FleetPartOptions {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  orders: ModelOrders;
  book: ServerBook;
  rates: OrganisationRates;
  repeats: RepeatBudget;
  host: string;
  incarnation: string;
  membership: () => Membership;
  /** Takes a configuration that a peer has passed on. */
  onConfiguration: (value: Uint8Array) => void;
  /** Takes servers that the holder of the command has seen. */
  onServers: (changed: readonly BackendServer[], removed: readonly string[]) => void;
}
