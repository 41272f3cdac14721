import { z } from 'zod';
import type { StoreChange } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';

/** Prefix of the fleet's own keys. */
export const FLEET_PREFIX = 'bronzelanding/';
/** Prefix of the hosts' entries. */
export const HOSTS_PREFIX = `${FLEET_PREFIX}hosts/`;
/** Who holds the command, under a lease. */
export const LEADER_KEY = `${FLEET_PREFIX}command`;
/** Who may have ordered last; outlives the lease. */
export const LAST_LEADER_KEY = `${FLEET_PREFIX}last-holder`;

/** Where a host takes connections of its peers. */
export interface FleetHost {
  name: string;
  address: string;
  port: number;
  /** Bandwidth of its link; hosts with more of it take the command first. */
  linkMbps: number;
}

/** What the store says of the fleet. */
export interface FleetState {
  /** Hosts with the revision of their entry, which rises with each start. */
  hosts: Map<string, FleetHost & { revision: number }>;
  command?: { holder: string; address: string; incarnation: string; revision: number };
  /** Host whose orders may have reached engines; the next one waits out the handover. */
  lastHolder: string;
  lastHolderRevision: number;
  /** Whether the fleet's keys were listed at least once. */
  isListed: boolean;
}

const hostValue = z.object({
  address: z.string(),
  port: z.number(),
  linkMbps: z.number().default(0),
});
const commandValue = z.object({
  holder: z.string(),
  address: z.string(),
  incarnation: z.string(),
});
const lastHolderValue = z.object({ holder: z.string() });

/** Takes one change of the fleet's keys; one that can't be read changes nothing. */
export function applyStoreChange(known: FleetState, change: StoreChange, log: Log): void {
  const { key, value, revision } = change;
  try {
    const parsed: unknown = value === undefined ? undefined : JSON.parse(value.toString('utf8'));
    if (key === LEADER_KEY)
      known.command =
        parsed === undefined ? undefined : { ...commandValue.parse(parsed), revision };
    else if (key === LAST_LEADER_KEY) {
      known.lastHolder = parsed === undefined ? '' : lastHolderValue.parse(parsed).holder;
      known.lastHolderRevision = parsed === undefined ? 0 : revision;
    } else if (key.startsWith(HOSTS_PREFIX)) {
      const name = key.slice(HOSTS_PREFIX.length);
      if (parsed === undefined) known.hosts.delete(name);
      else known.hosts.set(name, { name, revision, ...hostValue.parse(parsed) });
    }
  } catch (error) {
    log.warn({ key, revision, error: String(error) }, 'an entry of the fleet can not be read');
  }
}
