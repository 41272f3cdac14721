import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { ModelOrderClient } from '../../ports/modelOrderClient.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import type { ConcurrencyLimits } from '../createConcurrencyLimits/index.js';
import type { Evacuations } from '../createEvacuations/index.js';
import type { ListAge } from '../createListAge/index.js';
import type { AdmissionControl } from '../createAdmissionControl/index.js';
import type { LoadOptions } from '../loadOptions.js';
import type { ServerNotices } from '../createServerNotices/index.js';
import type { ServingMetrics } from '../createServingMetrics/index.js';
import type {
  FleetLevelsMessage,
  FleetReport,
  FleetView,
  HostAdmissions,
} from '../fleetMessages.js';
import type { AdapterGrant, AdapterRequest, SavedPartGroup } from '../types.js';
import type { RequestSchedules } from './_lib/createRequestSchedules.js';

/** Options of the fleet leader. */
export interface FleetLeaderOptions {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  orders: ModelOrderClient;
  host: string;
  random: () => number;
  /** Fencing token of this leadership. */
  fence: number;
  /** Confirms that this host is still the leader and may send orders. */
  confirmLeadership: () => Promise<boolean>;
  /** Whether this host is known to be the leader at this moment, without asking the store. */
  isLeadershipConfirmed: () => boolean;
  serverNotices: Pick<
    ServerNotices,
    'getPauseMs' | 'getRequestLimit' | 'getLimits' | 'getColdMs' | 'isCold'
  >;
  /** The evacuated data centres as this host knows them. */
  evacuations: Pick<Evacuations, 'isEvacuated' | 'encode'>;
  load: LoadOptions;
  /** The admission levels as this host last knew them. */
  admission: Pick<AdmissionControl, 'getKeptLevels'>;
  /** Limits of what servers run at once as this host knows them. */
  concurrency: Pick<ConcurrencyLimits, 'listLimits'>;
  /** Age of this host's list of servers. */
  listAge: Pick<ListAge, 'getAgeMs'>;
  /** Levels of the organisations' token buckets as this host last knew them. */
  levels: ReadonlyMap<string, number>;
  /** When hosts were last seen registered; an unreachable one may still serve requests. */
  lastRegisteredAtMs: ReadonlyMap<string, number>;
  /** Prompt parts in quarantine as the previous leader stored them. */
  savedPartGroups: readonly SavedPartGroup[];
  /** Stores the prompt parts in quarantine; resolves to whether they are stored. */
  writePartGroups: (groups: readonly SavedPartGroup[]) => Promise<boolean>;
}

/** Work of the leader: aggregates the hosts' reports, grants adapters and places replicas. */
export interface FleetLeader {
  setConfiguration: (configuration: ServingConfiguration) => void;
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  recordReport: (report: FleetReport) => void;
  recordAdmissions: (admissions: HostAdmissions) => void;
  /** Whether hosts need the bucket levels before the next view. */
  needsLevelUpdate: () => boolean;
  buildLevels: (host: string) => FleetLevelsMessage;
  /** Records that the current levels were sent to all hosts. */
  markLevelsSent: () => void;
  /** Sets the hosts that are registered now. */
  setRegisteredHosts: (hosts: readonly string[]) => void;
  /** Forgets what was sent to a host, so that its next view is complete. */
  resetSentState: (host: string) => void;
  /** Aggregates the fleet's state once; the result builds the view of each host. */
  prepareViews: (
    hosts: number,
    isCurrent: boolean,
  ) => (host: string) => Omit<FleetView, 'isStandby'>;
  /**
   * Grants an adapter on the first of the requested servers that can provide it while a caller waits
   * for it; `isWanted` tells whether one still does, for requests of this host.
   */
  grantAdapter: (
    request: AdapterRequest,
    isWanted?: () => boolean,
  ) => Promise<AdapterGrant | undefined>;
  /** Reserves one request to a server with a request limit. */
  reserveRequest: RequestSchedules['reserve'];
  /** Grants a trial of quarantined prompt parts to one request with them. */
  tryTrial: (parts: readonly string[]) => boolean;
  stop: () => void;
}
