import { findSoleVersion } from '../../../decisions/softwareVersions/findSoleVersion/index.js';
import type { KnownVersions } from '../../../decisions/softwareVersions/types.js';
import { formatError } from '../../../errors/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { FleetStore } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';
import type { BackendServer } from '../../../ports/serving.js';
import { collectVersions, listAll, VERSION_PREFIX } from '../../versionKeys.js';

/** Software versions of the services as this host knows them. */
export interface VersionView {
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  /** Takes over the versions of a service that the store names, as read for another purpose. */
  setRecorded: (service: string, versions: ReadonlySet<string>) => void;
  /** Returns the versions of a service; the recorded ones are those of the last read, and those that left lately. */
  getKnown: (service: string) => KnownVersions;
  /** Lists the versions that registered servers of a service had lately. */
  listRecent: (service: string) => string[];
  /** Finds the only version that a service has had lately; undefined where that is not known. */
  findSole: (service: string) => string | undefined;
  close: () => void;
}

/** Options of createVersionView. */
export interface VersionViewOptions {
  store: Pick<FleetStore, 'list' | 'getEpoch' | 'onEpochChange'>;
  clock: Pick<Clock, 'monotonicMs'>;
  log: Log;
  random: () => number;
  /** Called when a service may have several versions from now on. */
  onMixed: (service: string) => void;
  /** Mean time before the keys are first read, in milliseconds; 2000 by default, when a new leader has written them. */
  firstReadDelayMs?: number;
}

const FIRST_READ_DELAY_MS = 1000; // the leader has written a new version by then
const MAX_READ_DELAY_MS = 8000;
/** Streams and the tries of their callers end within it; hosts record streams for longer than that. */
const RECENT_MS = 45_000;

/**
 * Creates the view of a host that knows no servers. It reads the store once it does, and again while the
 * two name different versions.
 */
export function createVersionView({
  store,
  clock,
  log,
  random,
  onMixed,
  firstReadDelayMs = 2000,
}: VersionViewOptions): VersionView {
  let registered = new Map<string, Set<string | undefined>>();
  let recorded = new Map<string, ReadonlySet<string>>();
  /** Versions that no registered server has any more, with the time of that. */
  let left: { service: string; version: string; atMs: number }[] = [];
  let timer: NodeJS.Timeout | undefined;
  let delayMs = firstReadDelayMs;
  let isReading = false;
  let isClosed = false;

  const listRecent = (service: string): string[] =>
    left
      .filter((item) => item.service === service && clock.monotonicMs() - item.atMs < RECENT_MS)
      .map(({ version }) => version);

  const getKnown = (service: string): KnownVersions => ({
    registered: registered.get(service) ?? new Set(),
    recorded: new Set([...(recorded.get(service) ?? []), ...listRecent(service)]),
  });
  const findSole = (service: string): string | undefined => findSoleVersion(getKnown(service));
  const listSole = (): string[] =>
    [...registered.keys()].filter((service) => findSole(service) !== undefined);

  const recordLeft = (next: ReadonlyMap<string, ReadonlySet<string | undefined>>): void => {
    const atMs = clock.monotonicMs();
    left = left.filter((item) => atMs - item.atMs < RECENT_MS);
    for (const [service, versions] of registered)
      for (const version of versions)
        if (version !== undefined && next.get(service)?.has(version) !== true)
          left.push({ service, version, atMs });
  };

  const update = (change: () => void): void => {
    const before = listSole();
    change();
    for (const service of before) if (findSole(service) === undefined) onMixed(service);
  };

  const read = async (): Promise<void> => {
    timer = undefined;
    isReading = true;
    try {
      const items = await listAll(store, VERSION_PREFIX);
      update(() => {
        recorded = collectVersions(items, store.getEpoch());
      });
    } catch (error) {
      log.info({ error: formatError(error) }, 'software versions could not be read');
    }
    isReading = false;
    delayMs = Math.min(MAX_READ_DELAY_MS, Math.max(FIRST_READ_DELAY_MS, 2 * delayMs));
    startRead();
  };

  const startRead = (): void => {
    const isSettled = [...registered.keys()].every((service) => findSole(service) !== undefined);
    if (isClosed || isReading || isSettled || timer !== undefined) return;
    timer = setTimeout(() => void read(), delayMs * (0.5 + random()));
    timer.unref();
  };

  // The keys of a copy differ from those read before, and other hosts go by them.
  store.onEpochChange(() => {
    update(() => {
      recorded = new Map();
    });
    delayMs = FIRST_READ_DELAY_MS;
    startRead();
  });

  return {
    setServers: (servers) => {
      const next = new Map<string, Set<string | undefined>>();
      for (const { service, softwareVersion } of servers.values()) {
        const versions = next.get(service) ?? new Set();
        next.set(service, versions.add(softwareVersion));
      }
      const isChanged = [...next].some(([service, versions]) => {
        const known = registered.get(service);
        return [...versions].some((version) => known?.has(version) !== true);
      });
      update(() => {
        recordLeft(next);
        registered = next;
      });
      if (isChanged && recorded.size > 0) delayMs = FIRST_READ_DELAY_MS;
      startRead();
    },
    setRecorded: (service, versions) => {
      update(() => recorded.set(service, versions));
      startRead();
    },
    getKnown,
    listRecent,
    findSole,
    close: () => {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}
