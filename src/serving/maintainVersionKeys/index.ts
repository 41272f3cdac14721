import { planVersionKeys } from '../../decisions/softwareVersions/planVersionKeys/index.js';
import type { RecordedVersion, ServiceVersion } from '../../decisions/softwareVersions/types.js';
import { formatError } from '../../errors/index.js';
import type { FleetStore } from '../../ports/fleetStore.js';
import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { BackendServer } from '../../ports/serving.js';
import { REREGISTRATION_MS } from '../watchServers/index.js';
import {
  buildVersionKey,
  listAll,
  parseVersionKey,
  VERSION_PREFIX,
  type VersionKey,
} from '../versionKeys.js';

/** Options of maintainVersionKeys. */
export interface VersionKeysOptions {
  store: Pick<FleetStore, 'list' | 'transact' | 'grantLease' | 'getEpoch' | 'onEpochChange'>;
  clock: Clock;
  log: Log;
  signal: AbortSignal;
  /** Whether this host leads, and its list of servers is current. */
  mayWrite: () => boolean;
  /** Whether this host leads, also with a list that is not current; as `mayWrite` by default. */
  isLeader?: () => boolean;
}

/** Task that keeps the software versions in service in the store. */
export interface VersionKeys {
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
}

const RETENTION_MS = 60_000; // longer than streams and the tries of their callers last
const CHECK_INTERVAL_MS = 500;
const REREAD_INTERVAL_MS = 30_000; // finds what another leader has written meanwhile
const MAX_WRITES = 32; // keys that the store takes in one transaction

/** Lists the software versions of the registered servers, each once. */
function listVersions(servers: ReadonlyMap<string, BackendServer>): ServiceVersion[] {
  const versions = new Map<string, ServiceVersion>();
  for (const { service, softwareVersion: version } of servers.values())
    if (version !== undefined)
      versions.set(JSON.stringify([service, version]), { service, version });
  return [...versions.values()];
}

/**
 * Keeps a key in the store for each software version in service while this host leads. The key of a
 * version whose last server is gone stays for as long as its streams may be resumed.
 */
export function maintainVersionKeys(options: VersionKeysOptions): VersionKeys {
  const { store, clock, log, signal, mayWrite, isLeader = mayWrite } = options;
  let registered: ServiceVersion[] = [];
  let recorded: RecordedVersion[] | undefined;
  let readAtMs = -Infinity;
  /** Since when the keys are known to come from a copy of the store; undefined while they do not. */
  let outdatedSinceMs: number | undefined;
  let isRunning = false;

  const readKeys = async (): Promise<RecordedVersion[]> => {
    const items = await listAll(store, VERSION_PREFIX);
    readAtMs = clock.monotonicMs();
    return items.flatMap(({ value, lease }) => {
      const key = parseVersionKey(value);
      if (key === undefined) return [];
      const { service, version, epoch } = key;
      return [{ service, version, isRetired: lease !== 0, isOutdated: epoch !== store.getEpoch() }];
    });
  };

  const writeKeys = async (versions: readonly ServiceVersion[], lease?: number): Promise<void> => {
    const writes = versions.slice(0, MAX_WRITES).map((version) => ({
      key: buildVersionKey(version),
      value: JSON.stringify({ ...version, epoch: store.getEpoch() } satisfies VersionKey),
      lease,
    }));
    const { result } = await store.transact({ conditions: [], writes });
    log.info(
      { versions: versions.map(({ service, version }) => `${service} ${version}`), lease, result },
      lease === undefined ? 'software versions in service' : 'software versions retired',
    );
  };

  const update = async (): Promise<void> => {
    if (clock.monotonicMs() - readAtMs > REREAD_INTERVAL_MS) recorded = undefined;
    recorded ??= await readKeys();
    if (recorded.some(({ isOutdated }) => isOutdated)) outdatedSinceMs ??= clock.monotonicMs();
    else outdatedSinceMs = undefined;
    if (clock.monotonicMs() - (outdatedSinceMs ?? -Infinity) < REREGISTRATION_MS) return;
    const { write, retire } = planVersionKeys(registered, recorded);
    if (write.length === 0 && retire.length === 0) return;
    if (!mayWrite()) return;
    // What the writes have left there is read anew.
    recorded = undefined;
    if (write.length > 0) await writeKeys(write);
    if (retire.length > 0) {
      const { lease } = await store.grantLease(RETENTION_MS);
      await writeKeys(retire, lease);
    }
  };

  const run = async (): Promise<void> => {
    if (isRunning || registered.length === 0) return;
    if (!mayWrite()) {
      if (!isLeader()) recorded = undefined;
      return;
    }
    isRunning = true;
    await update().catch((error: unknown) =>
      log.info({ error: formatError(error) }, 'software versions not written, trying again'),
    );
    isRunning = false;
  };

  store.onEpochChange(() => {
    recorded = undefined;
  });
  const timer = setInterval(() => void run(), CHECK_INTERVAL_MS);
  timer.unref();
  signal.addEventListener('abort', () => clearInterval(timer), { once: true });
  return {
    setServers: (servers) => {
      registered = listVersions(servers);
      void run();
    },
  };
}
