import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { ModelOrderClient } from '../../ports/modelOrderClient.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import type { OrganisationRateLimiter } from '../createOrganisationRateLimiter/index.js';
import type { ServiceRetryBudget } from '../createServiceRetryBudget/index.js';
import type { ServerRegistry } from '../createServerRegistry/index.js';
import type { FleetHost, Membership } from '../maintainMembership/index.js';
import type { ServingMetrics } from '../createServingMetrics/index.js';
import type { PlacementClient } from '../types.js';

/** What a host watches in the store. */
export const StoreWatch = {
  configuration: 'configuration',
  servers: 'servers',
  fleet: 'fleet',
} as const;
export type StoreWatch = (typeof StoreWatch)[keyof typeof StoreWatch];

/** A host's part in the fleet: it reports to the holder of the command, or is the holder itself. */
export interface FleetMember {
  placement: PlacementClient;
  listen: (address: string, port: number) => Promise<number>;
  setHosts: (hosts: readonly FleetHost[]) => void;
  setLeadership: (fence: number | undefined) => void;
  setConfiguration: (configuration: ServingConfiguration, value: Buffer) => void;
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  recordModelUse: (server: string, name: string, change: 1 | -1) => void;
  /** Whether another host holds the command, hears the store and is heard. */
  isFeedActive: () => boolean;
  /** Settles once the store must be watched by this host itself. */
  waitUntilFeedEnds: () => Promise<void>;
  /** Notes that the store answered a call of one of the watches. */
  recordStoreResponse: (watch: StoreWatch) => void;
  close: () => void;
}

/** Options of a host's part in the fleet. */
export interface FleetMemberOptions {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  orders: ModelOrderClient;
  serverRegistry: ServerRegistry;
  rateLimiter: OrganisationRateLimiter;
  retryBudget: ServiceRetryBudget;
  host: string;
  incarnation: string;
  membership: () => Membership;
  /** Takes a configuration that a peer has passed on. */
  onConfiguration: (value: Uint8Array) => void;
  /** Takes servers that the holder of the command has seen. */
  onServers: (changed: readonly BackendServer[], removed: readonly string[]) => void;
}
