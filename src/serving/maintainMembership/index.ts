import { createPause } from '../../common/createPause.js';
import type { StoreChange, StoreItem } from '../../ports/fleetStore.js';
import { watchPrefix } from '../watchPrefix/index.js';
import {
  applyStoreChange,
  listLeadershipConditions,
  FLEET_PREFIX,
  QUARANTINE_KEY,
  type FleetState,
} from './_lib/fleetState.js';
import { createLeadership } from './_lib/createLeadership.js';
import { dropEntries } from './_lib/dropEntries.js';
import { maintainCandidacy } from './_lib/maintainCandidacy.js';
import { maintainRegistration } from './_lib/maintainRegistration.js';
import { writePartGroups } from './_lib/writePartGroups.js';

import type { MaintainMembershipOptions, Membership } from './types.js';

export type { FleetHost, RegisteredHost } from './_lib/fleetState.js';
export type * from './types.js';

const WATCH_PAUSE_MS = 200;
/** Bounds the time for which a watch on a connection that went silent is trusted. */
const WATCH_TIMEOUT_MS = 8000;
const RENEWAL_SPREAD_MS = 1000; // all hosts register again after the store was restored

/** Keeps this host registered, follows the other hosts, and runs for leader when nobody leads. */
export function maintainMembership(options: MaintainMembershipOptions): Membership {
  const { store, clock, log, random, self, incarnation, signal, feed } = options;
  const state: FleetState = {
    hosts: new Map(),
    lastLeader: { holder: '', epoch: 0 },
    lastHolderRevision: 0,
    partGroups: [],
    hasSnapshot: false,
  };
  const watchPause = createPause();
  /** Whether this host has read the fleet's keys, in any epoch of the store. */
  let hasRead = false;
  /** Whether the next list is the first one since the store was restored. */
  let isCopyUnread = false;

  const leadership = createLeadership({
    ...options,
    state,
    onLeadershipChange: (fence) => {
      options.onLeadershipChange(fence);
      watchPause.end();
    },
  });

  const applyChanges = (changes: readonly StoreChange[]): void => {
    const before = [...state.hosts.keys()].join();
    const { partGroups } = state;
    for (const change of changes) applyStoreChange(state, change, log);
    state.hasSnapshot = true;
    hasRead = true;
    // A new leader starts with them.
    if (state.partGroups !== partGroups) options.onPartGroups(state.partGroups);
    leadership.update();
    const hosts = [...state.hosts.values()];
    if (before !== [...state.hosts.keys()].join()) {
      log.info({ count: hosts.length }, 'registered hosts changed');
      options.onHosts(hosts);
    }
    if (!state.hosts.has(self.name)) registration.renewNow();
    void candidacy.tryNow();
  };

  const registration = maintainRegistration({
    ...options,
    ttlMs: options.registrationTtlMs,
  });
  const candidacy = maintainCandidacy({
    ...options,
    state,
    leadership,
    isRegistered: registration.isRegistered,
    onOutdated: watchPause.end,
  });
  void watchPrefix({
    store,
    prefix: FLEET_PREFIX,
    clock,
    log,
    signal,
    random,
    watchTimeoutMs: WATCH_TIMEOUT_MS,
    pauseMs: WATCH_PAUSE_MS,
    isWatchOptional: true,
    mayWaitForOthers: true,
    pause: watchPause,
    onSnapshot: (items: StoreItem[]) => {
      const isCopy = isCopyUnread;
      isCopyUnread = false;
      state.hosts.clear();
      state.command = undefined;
      state.lastLeader = { holder: '', epoch: 0 };
      state.lastHolderRevision = 0;
      // What this host knows of the quarantine is newer than a copy of the store.
      applyChanges(isCopy ? items.filter(({ key }) => key !== QUARANTINE_KEY) : items);
    },
    onChanges: applyChanges,
    feed,
    outage: options.outage,
  });

  store.onEpochChange((epoch) => {
    const wasLeading = leadership.recordRestore();
    log.warn({ epoch, wasLeading }, 'store was restored, joining the fleet again');
    isCopyUnread = hasRead;
    state.hasSnapshot = false;
    leadership.end();
    registration.renewWithin(wasLeading ? 0 : RENEWAL_SPREAD_MS);
    watchPause.end();
  });

  return {
    listHosts: () => [...state.hosts.values()],
    isLeadershipConfirmed: leadership.isConfirmed,
    confirmLeadership: leadership.confirm,
    writePartGroups: (groups) => writePartGroups(options, leadership.getFence(), groups),
    leave: async () => {
      candidacy.withdraw();
      const fence = leadership.getFence();
      const conditions = fence === undefined ? [] : listLeadershipConditions(incarnation, fence);
      const ownEntry = registration.getCondition();
      leadership.end();
      registration.leave();
      await Promise.all(
        [conditions, ownEntry === undefined ? [] : [ownEntry]].map((entries) =>
          dropEntries(options, entries),
        ),
      );
    },
  };
}
