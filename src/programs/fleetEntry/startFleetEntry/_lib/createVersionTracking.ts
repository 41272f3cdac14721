import type { BackendServer } from '../../../../ports/serving.js';
import {
  createStreamVersions,
  type StreamVersions,
  type StreamVersionsOptions,
} from '../../../../serving/createStreamVersions/index.js';
import { maintainVersionKeys } from '../../../../serving/maintainVersionKeys/index.js';

/** Software versions of the servers and of the streams that they began. */
export interface VersionTracking {
  streamVersions: StreamVersions;
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
}

const MAX_LIST_AGE_MS = 1000; // a leader whose list is older may miss servers that have registered

/** Tracks software versions until the signal aborts; the host that leads also writes them to the store. */
export function createVersionTracking(
  options: StreamVersionsOptions & { signal: AbortSignal; isLeader: () => boolean },
): VersionTracking {
  const { signal, isLeader, listAge } = options;
  const streamVersions = createStreamVersions(options);
  const versionKeys = maintainVersionKeys({
    ...options,
    mayWrite: () => isLeader() && listAge.getAgeMs() < MAX_LIST_AGE_MS,
  });
  signal.addEventListener('abort', streamVersions.close, { once: true });
  return {
    streamVersions,
    setServers: (servers) => {
      streamVersions.setServers(servers);
      versionKeys.setServers(servers);
    },
  };
}
