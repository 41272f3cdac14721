import type { Clock } from '../../ports/clock.js';
import type { FleetStore } from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';
import type { StoreOutage } from '../createStoreOutage/index.js';
import type { SavedPartGroup } from '../types.js';
import type { LeaderFeed } from '../watchPrefix/index.js';
import type { FleetHost, RegisteredHost } from './_lib/fleetState.js';

/** This host's membership: its registration, the other hosts and the leadership of the fleet. */
export interface Membership {
  listHosts: () => RegisteredHost[];
  /** Confirms that this host is leader and may send orders, renewing its lease if needed. */
  confirmLeadership: () => Promise<boolean>;
  /** Whether the lease of the leadership is known to hold at this moment. */
  isLeadershipConfirmed: () => boolean;
  /** Stores the prompt parts in quarantine while this host leads; resolves to whether it did. */
  writePartGroups: (groups: readonly SavedPartGroup[]) => Promise<boolean>;
  /** Ends the registration and the leadership. */
  leave: () => Promise<void>;
}

/** Options of `maintainMembership`. */
export interface MaintainMembershipOptions {
  store: FleetStore;
  clock: Clock;
  log: Log;
  random: () => number;
  self: FleetHost;
  incarnation: string;
  /** Whether the whole fleet starts for the first time. */
  isFirstStart: boolean;
  /** Duration of the leader's lease. */
  leaderTtlMs: number;
  /** Duration of the lease of a registration. */
  registrationTtlMs: number;
  /** Time after a change of leader until orders of the previous one can no longer take effect. */
  handoverMs: number;
  signal: AbortSignal;
  feed: LeaderFeed;
  outage: StoreOutage;
  onHosts: (hosts: FleetHost[]) => void;
  /** Called with the stored prompt parts in quarantine when they may have changed. */
  onPartGroups: (groups: readonly SavedPartGroup[]) => void;
  /** Called with the fencing token when this host starts to lead, undefined when it stops. */
  onLeadershipChange: (fence: number | undefined) => void;
}
