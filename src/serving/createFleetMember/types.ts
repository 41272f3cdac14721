import type { FreshnessLimits } from '../../decisions/leadership/computeFreshnessLimits/index.js';
import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { ModelOrderClient } from '../../ports/modelOrderClient.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import type { OrganisationRateLimiter } from '../createOrganisationRateLimiter/index.js';
import type { ServiceRetryBudget } from '../createServiceRetryBudget/index.js';
import type { ServerNotices } from '../createServerNotices/index.js';
import type { AdmissionControl } from '../createAdmissionControl/index.js';
import type { ConcurrencyLimits } from '../createConcurrencyLimits/index.js';
import type { ServerPaces } from '../createServerPaces/index.js';
import type { ServerRegistry } from '../createServerRegistry/index.js';
import type { Evacuations } from '../createEvacuations/index.js';
import type { ListAge } from '../createListAge/index.js';
import type { LoadOptions } from '../loadOptions.js';
import type { LeaderChanges } from '../watchServers/index.js';
import type { FleetHost, Membership } from '../maintainMembership/index.js';
import type { ServingMetrics } from '../createServingMetrics/index.js';
import type {
  PlacementClient,
  QuarantineClient,
  RequestLimiter,
  SavedPartGroup,
} from '../types.js';
import type { LeaderFeeds } from './_lib/createLeaderFeeds.js';

/** Prefixes of the store whose changes the leader passes on. */
export const StoreWatch = {
  configuration: 'configuration',
  servers: 'servers',
} as const;
/** Name of such a prefix. */
export type StoreWatch = (typeof StoreWatch)[keyof typeof StoreWatch];

/** A host as member of the fleet: it reports to the leader, or is the leader itself. */
export interface FleetMember {
  placement: PlacementClient;
  quarantine: QuarantineClient;
  requestLimiter: RequestLimiter;
  /** Whether a leader sends views to this host, or it is the leader. */
  isLed: () => boolean;
  /** Sets the prompt parts in quarantine as they are stored. */
  setSavedPartGroups: (groups: readonly SavedPartGroup[]) => void;
  /** Starts to accept connections of leaders; resolves to the port. */
  listen: (address: string, port: number) => Promise<number>;
  /** Sets the hosts that are registered in the store. */
  setHosts: (hosts: readonly FleetHost[]) => void;
  /** Starts to lead under a fencing token; stops when it is undefined. */
  setLeadership: (fence: number | undefined) => void;
  setConfiguration: (configuration: ServingConfiguration, value: Buffer) => void;
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  /** Passes a change of the evacuated data centres on, if this host leads. */
  announceEvacuations: () => void;
  recordModelUse: (server: string, name: string, change: 1 | -1) => void;
  /** What the leader passes on, so that this host need not read it from the store. */
  feeds: Pick<LeaderFeeds, 'changes' | 'servers' | 'leadership' | 'resumeWaiters'>;
  /** Records that the store responded to a call of a watch. */
  recordStoreResponse: (watch: StoreWatch) => void;
  close: () => void;
}

/** Options of a fleet member. */
export interface FleetMemberOptions {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  orders: ModelOrderClient;
  serverRegistry: ServerRegistry;
  serverNotices: ServerNotices;
  serverPaces: ServerPaces;
  concurrency: ConcurrencyLimits;
  load: LoadOptions;
  admission: AdmissionControl;
  rateLimiter: OrganisationRateLimiter;
  retryBudget: ServiceRetryBudget;
  host: string;
  incarnation: string;
  /** Bandwidth of this host's network link in Mbit/s. */
  linkMbps: number;
  random: () => number;
  /** Whether the whole fleet starts for the first time. */
  isFirstStart: boolean;
  freshness: FreshnessLimits;
  /** The evacuated data centres as this host knows them. */
  evacuations: Evacuations;
  /** Age of this host's list of servers. */
  listAge: ListAge;
  membership: () => Membership;
  /** Called with a configuration that a peer has sent. */
  onConfiguration: (value: Uint8Array) => void;
  /** Called with changes of the registered servers that the leader has sent. */
  onServers: (changes: LeaderChanges) => void;
}
