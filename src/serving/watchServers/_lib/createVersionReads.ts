import { formatError } from '../../../errors/index.js';
import type { FleetStore } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';
import type { BackendServer } from '../../../ports/serving.js';
import { listAll } from '../../versionKeys.js';

/** Options of createVersionReads. */
export interface VersionReadsOptions {
  store: Pick<FleetStore, 'list'>;
  prefix: string;
  decode: (key: string, value: Buffer) => BackendServer;
  servers: Map<string, BackendServer>;
  log: Log;
  random: () => number;
  signal: AbortSignal;
  /** Called when versions were added to servers. */
  onRead: () => void;
}

const MAX_DELAY_MS = 100; // spreads the reads of hosts that get the same view
const RETRY_DELAY_MS = 1000;

/**
 * Creates a function that reads from the store the software versions that servers lack, as a leader of an
 * older version does not pass them on. Each start of a server is read for once.
 */
export function createVersionReads(options: VersionReadsOptions): () => void {
  const { store, prefix, decode, servers, log, random, signal, onRead } = options;
  let asked = new Set<string>();
  let timer: NodeJS.Timeout | undefined;
  let isReading = false;

  const listMissing = (): string[] =>
    [...servers.values()]
      .filter(({ softwareVersion }) => softwareVersion === undefined)
      .map(({ incarnation }) => incarnation);

  const addVersion = (key: string, value: Buffer): void => {
    const id = key.slice(prefix.length);
    const known = servers.get(id);
    if (known === undefined || known.softwareVersion !== undefined) return;
    try {
      const { incarnation, softwareVersion } = decode(id, value);
      if (incarnation === known.incarnation) servers.set(id, { ...known, softwareVersion });
    } catch {
      // The leader has ignored this registration too.
    }
  };

  const read = async (): Promise<void> => {
    timer = undefined;
    isReading = true;
    let delayMs = 0;
    try {
      const missing = listMissing();
      for (const { key, value } of await listAll(store, prefix)) addVersion(key, value);
      asked = new Set(missing);
      onRead();
    } catch (error) {
      log.info({ error: formatError(error) }, 'software versions of servers could not be read');
      delayMs = RETRY_DELAY_MS;
    }
    isReading = false;
    start(delayMs);
  };

  const start = (delayMs = 0): void => {
    if (timer !== undefined || isReading || signal.aborted) return;
    if (listMissing().every((incarnation) => asked.has(incarnation))) return;
    timer = setTimeout(() => void read(), delayMs + random() * MAX_DELAY_MS);
    timer.unref();
  };

  return start;
}
