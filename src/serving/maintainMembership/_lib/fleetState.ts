import { z } from 'zod';
import type { LastLeader } from '../../../decisions/leadership/mayOthersHaveOrders/index.js';
import type { StoreChange, StoreCondition } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';
import type { SavedPartGroup } from '../../types.js';

/** Store prefix of all keys of the fleet. */
export const FLEET_PREFIX = 'bronzelanding/';
/** Store prefix of the hosts' entries. */
export const HOSTS_PREFIX = `${FLEET_PREFIX}hosts/`;
/** Key of the leader's entry, which is bound to a lease. */
export const LEADER_KEY = `${FLEET_PREFIX}command`;
/** Key prefix of one entry for each leading process, written and ended together with the leader's entry. */
export const LEADERS_PREFIX = `${FLEET_PREFIX}leaders/`;
/** Key of the last leader that may have sent orders; outlives the lease. */
export const LAST_LEADER_KEY = `${FLEET_PREFIX}last-holder`;

/** Key of the prompt parts in quarantine, which the leader writes. */
export const QUARANTINE_KEY = `${FLEET_PREFIX}quarantine`;

/** A registered host and the address at which it accepts connections of peers. */
export interface FleetHost {
  name: string;
  address: string;
  port: number;
  /** Bandwidth of its link; hosts with more bandwidth are preferred as leader. */
  linkMbps: number;
}

/** A host as it is registered in the store. */
export interface RegisteredHost extends FleetHost {
  /** Store revision of the entry, which rises with each start of the host. */
  revision: number;
}

/** State of the fleet as read from the store. */
export interface FleetState {
  hosts: Map<string, RegisteredHost>;
  /** The leader's entry; undefined while no host leads. */
  command?: {
    holder: string;
    address: string;
    incarnation: string;
    revision: number;
    /** Lease that the entry ends with. */
    lease: number;
  };
  /** Last host that may have sent orders; another leader waits for the handover. */
  lastLeader: LastLeader;
  lastHolderRevision: number;
  /** Prompt parts in quarantine. */
  partGroups: readonly SavedPartGroup[];
  /** Whether a snapshot of the keys was read at least once. */
  hasSnapshot: boolean;
}

/**
 * Lists the conditions of what only the leader with a fencing token may write. No other process writes
 * the second key, so that they cannot hold by chance on a revision that was given out twice.
 */
export function listLeadershipConditions(incarnation: string, fence: number): StoreCondition[] {
  return [
    { key: LEADER_KEY, revision: fence },
    { key: LEADERS_PREFIX + incarnation, revision: fence },
  ];
}

const hostSchema = z.object({
  address: z.string(),
  port: z.number(),
  linkMbps: z.number().default(0),
});
const leaderSchema = z.object({
  holder: z.string(),
  address: z.string(),
  incarnation: z.string(),
});
const partGroupsSchema = z.array(
  z.object({
    parts: z.array(z.string()),
    crashes: z.number(),
    trials: z.number(),
    confirmations: z.number(),
    wasServed: z.boolean(),
  }),
);
const lastLeaderSchema = z.object({
  holder: z.string(),
  /** Absent in older versions. */
  epoch: z.number().default(0),
});

/** Applies one change of the fleet's keys; an invalid value is logged and ignored. */
export function applyStoreChange(state: FleetState, change: StoreChange, log: Log): void {
  const { key, value, revision, lease } = change;
  try {
    const parsed: unknown = value === undefined ? undefined : JSON.parse(value.toString('utf8'));
    if (key === LEADER_KEY)
      state.command =
        parsed === undefined ? undefined : { ...leaderSchema.parse(parsed), revision, lease };
    else if (key === LAST_LEADER_KEY) {
      state.lastLeader =
        parsed === undefined ? { holder: '', epoch: 0 } : lastLeaderSchema.parse(parsed);
      state.lastHolderRevision = parsed === undefined ? 0 : revision;
    } else if (key === QUARANTINE_KEY)
      state.partGroups = parsed === undefined ? [] : partGroupsSchema.parse(parsed);
    else if (key.startsWith(HOSTS_PREFIX)) {
      const name = key.slice(HOSTS_PREFIX.length);
      if (parsed === undefined) state.hosts.delete(name);
      else state.hosts.set(name, { name, revision, ...hostSchema.parse(parsed) });
    }
  } catch (error) {
    log.warn({ key, revision, error: String(error) }, 'fleet entry not readable, ignored');
  }
}
