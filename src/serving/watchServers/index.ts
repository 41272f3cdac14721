import type { Pause } from '../../common/createPause.js';
import type { Clock } from '../../ports/clock.js';
import { formatError } from '../../errors/index.js';
import type { FleetStore, StoreChange } from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';
import type { BackendServer } from '../../ports/serving.js';
import type { ListAge } from '../createListAge/index.js';
import type { StoreOutage } from '../createStoreOutage/index.js';
import { createRegistrations } from './_lib/createRegistrations.js';
import { createVersionReads } from './_lib/createVersionReads.js';
import { watchPrefix, type LeaderFeed } from '../watchPrefix/index.js';

/** Options of watching the registrations of backend servers. */
export interface WatchServersOptions {
  store: FleetStore;
  prefix: string;
  clock: Clock;
  log: Log;
  signal: AbortSignal;
  random: () => number;
  /** Timeout of one watch. */
  watchTimeoutMs: number;
  /** Mean of the longest time between two tries to read a store that does not answer. */
  maximumBackoffMs: number;
  /** Pause after a watch that returned changes. */
  batchDelayMs: number;
  /** Decodes a registration; throws when it is invalid. */
  decode: (id: string, value: Buffer) => BackendServer;
  /** Called with all known servers after each change. */
  onServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  /** Called after each successful response of the store. */
  onStoreResponse: () => void;
  /** Time between two renewals of a registration. */
  registrationIntervalMs: number;
  /** Told up to which moment the servers are known. */
  listAge: ListAge;
  feed: LeaderFeed;
  /** Ending it makes the next call to the store at once. */
  pause: Pause;
  /** Shared by all tasks of the host that watch the store. */
  outage: StoreOutage;
}

/** Server changes that a leader passes on. */
export interface LeaderChanges {
  /** Servers that have changed. */
  servers: readonly BackendServer[];
  /** Ids of servers that are gone. */
  removed: readonly string[];
  /** Whether `servers` are all servers there are. */
  isSnapshot: boolean;
  /** Epoch of the store in which the leader leads. */
  epoch: number;
}

/** Handle of the watched servers. */
export interface WatchedServers {
  /** Applies server changes that the leader passed on. */
  applyLeaderChanges: (changes: LeaderChanges) => void;
}

const EXPIRY_CHECK_INTERVAL_MS = 100;
/** Time after a store outage within which servers whose leases expired register again. */
export const REREGISTRATION_MS = 2000;
/** A registration lapses after three missed renewals, of which one may have been due already. */
const LAPSE_INTERVALS = 2;

/**
 * Watches the registrations of backend servers. Servers whose registrations may have lapsed in a
 * store outage are kept until they have had time to register again since its end.
 */
export function watchServers(options: WatchServersOptions): WatchedServers {
  const { store, prefix, clock, log, signal, decode, onServers, listAge, outage } = options;
  const registrations = createRegistrations(log);
  const { servers } = registrations;
  /** Servers whose registration was removed during a store outage or just after it. */
  const expired = new Set<string>();
  /** Until when a server whose registration is missing may register again. */
  let awaitedUntilMs = -Infinity;
  let seenEpoch = 0;
  /** The same since the store was restored, when also a leader may know the copy only. */
  let restoredUntilMs = -Infinity;
  let expiryTimer: NodeJS.Timeout | undefined;

  const readVersions = createVersionReads({
    ...options,
    servers,
    onRead: () => onServers(servers),
  });

  const isAwaitingReregistration = (): boolean => clock.monotonicMs() < awaitedUntilMs;

  /** A copy of the store may lack servers that have registered since it was taken. */
  const recordEpoch = (epoch: number): void => {
    if (epoch <= seenEpoch) return;
    const isRestored = servers.size > 0;
    log.info({ before: seenEpoch, epoch, isRestored }, 'servers of another epoch of the store');
    seenEpoch = epoch;
    if (!isRestored) return;
    restoredUntilMs = clock.monotonicMs() + REREGISTRATION_MS;
    awaitedUntilMs = restoredUntilMs;
  };

  /** Recognises the end of an outage that was long enough for registrations to lapse. */
  const checkForOutage = (): void => {
    recordEpoch(store.getEpoch());
    const ageMs = listAge.getAgeMs();
    if (!Number.isFinite(ageMs) || ageMs < LAPSE_INTERVALS * options.registrationIntervalMs) return;
    const nowMs = clock.monotonicMs();
    const returnedAtMs = outage.getReturnedAtMs();
    // A host that was paused has seen no call fail.
    const endedAtMs = returnedAtMs > nowMs - ageMs ? returnedAtMs : nowMs;
    awaitedUntilMs = endedAtMs + REREGISTRATION_MS;
    log.info(
      { ageMs: Math.round(ageMs), awaitedMs: Math.round(awaitedUntilMs - nowMs) },
      'list of servers was outdated, missing servers may register again',
    );
  };

  const apply = ({ key, value, revision }: StoreChange): void => {
    const id = key.slice(prefix.length);
    expired.delete(id);
    if (value === undefined) {
      if (isAwaitingReregistration()) holdBack(id);
      else if (registrations.remove(id, store.getEpoch()))
        log.info({ server: id, revision }, 'server deregistered');
      return;
    }
    try {
      registrations.set(decode(id, value), { source: 'store', revision, epoch: store.getEpoch() });
    } catch (error) {
      registrations.remove(id, store.getEpoch());
      log.warn(
        { key, revision, error: formatError(error).slice(0, 200) },
        'invalid server registration, server not used',
      );
    }
  };

  const holdBack = (id: string): void => {
    expired.add(id);
    expiryTimer ??= setInterval(removeExpired, EXPIRY_CHECK_INTERVAL_MS);
  };

  const removeExpired = (): void => {
    if (isAwaitingReregistration()) return;
    clearInterval(expiryTimer);
    expiryTimer = undefined;
    if (expired.size === 0) return;
    for (const id of expired) {
      registrations.remove(id, seenEpoch);
      log.info(
        { server: id },
        'server removed, its registration expired around a store outage and was not renewed',
      );
    }
    expired.clear();
    onServers(servers);
  };
  signal.addEventListener('abort', () => clearInterval(expiryTimer), { once: true });

  void watchPrefix({
    store,
    prefix,
    clock,
    log,
    signal,
    watchTimeoutMs: options.watchTimeoutMs,
    pauseMs: options.batchDelayMs,
    maximumBackoffMs: options.maximumBackoffMs,
    random: options.random,
    onSnapshot: (items) => {
      const listed = new Set(items.map(({ key }) => key.slice(prefix.length)));
      for (const id of [...servers.keys()])
        if (!listed.has(id)) apply({ key: prefix + id, revision: 0, lease: 0 });
      for (const item of items) apply(item);
      onServers(servers);
    },
    onChanges: (changes) => {
      for (const change of changes) apply(change);
      onServers(servers);
    },
    onStoreResponse: () => {
      checkForOutage();
      options.onStoreResponse();
    },
    onComplete: listAge.recordComplete,
    feed: options.feed,
    pause: options.pause,
    outage,
  });
  return {
    applyLeaderChanges: ({ servers: changed, removed, isSnapshot, epoch }) => {
      recordEpoch(epoch);
      for (const server of changed) {
        expired.delete(server.id);
        registrations.set(server, { source: 'peer', revision: 0, epoch });
      }
      const listed = new Set(changed.map(({ id }) => id));
      const missing = isSnapshot ? [...servers.keys()].filter((id) => !listed.has(id)) : [];
      const isRestored = clock.monotonicMs() < restoredUntilMs;
      if (isRestored) missing.forEach(holdBack);
      for (const id of isRestored ? removed : [...removed, ...missing]) {
        expired.delete(id);
        if (registrations.remove(id, epoch))
          log.info({ server: id, source: 'peer' }, 'server deregistered');
      }
      onServers(servers);
      readVersions();
    },
  };
}
