import { setTimeout as wait } from 'node:timers/promises';
import type { ListedHost } from '../../ports/hostList.js';
import {
  openStandinServer,
  parseJsonBody,
  sendJsonResponse,
  type StandinRequest,
  type StandinServer,
} from '../http.js';

/** Options of the stand-in of host list and weight store. */
export interface PlatformOptions {
  /** Milliseconds by which the list lags behind changes. */
  listLagMs?: number;
  /** Limit for model load starts per second. */
  loadsPerSecond?: number;
  /** Number of concurrent model loads that run at full speed. */
  loadsAtOnce?: number;
  /** Milliseconds that a model load takes at full speed. */
  modelLoadMs?: number;
  /** Number of concurrent adapter loads that run at full speed. */
  adaptersInFlight?: number;
  /** Milliseconds that an adapter load takes at full speed. */
  adapterLoadMs?: number;
}

/** Counters of the weight store. */
export interface WeightStoreStats {
  modelLoads: number;
  adapterLoads: number;
  mostModelsAtOnce: number;
  mostAdaptersAtOnce: number;
  /** Model loads that started above the limit of starts per second. */
  startsOverLimit: number;
}

const MS_PER_SECOND = 1000;

interface WeightStore {
  load: (kind: string) => Promise<void>;
  stats: WeightStoreStats;
}

/** Creates a weight store whose loads slow down in proportion to the excess over its concurrency limits. */
export function createWeightStore(options: PlatformOptions): WeightStore {
  const {
    loadsPerSecond = 2,
    loadsAtOnce = 3,
    modelLoadMs = 200,
    adaptersInFlight = 24,
    adapterLoadMs = 8,
  } = options;
  const stats: WeightStoreStats = {
    modelLoads: 0,
    adapterLoads: 0,
    mostModelsAtOnce: 0,
    mostAdaptersAtOnce: 0,
    startsOverLimit: 0,
  };
  let runningModelLoads = 0;
  let runningAdapterLoads = 0;
  let recentStartsMs: number[] = [];

  const recordStart = (): void => {
    const nowMs = performance.now();
    recentStartsMs = [...recentStartsMs.filter((atMs) => nowMs - atMs < MS_PER_SECOND), nowMs];
    // A token bucket allows a burst of one second's starts, at least one, on top of the starts that it refills.
    if (recentStartsMs.length > loadsPerSecond + Math.max(1, loadsPerSecond))
      stats.startsOverLimit += 1;
  };

  return {
    stats,
    load: async (kind) => {
      if (kind === 'adapter') {
        stats.adapterLoads += 1;
        runningAdapterLoads += 1;
        stats.mostAdaptersAtOnce = Math.max(stats.mostAdaptersAtOnce, runningAdapterLoads);
        await wait(adapterLoadMs * Math.max(1, runningAdapterLoads / adaptersInFlight));
        runningAdapterLoads -= 1;
        return;
      }
      stats.modelLoads += 1;
      runningModelLoads += 1;
      stats.mostModelsAtOnce = Math.max(stats.mostModelsAtOnce, runningModelLoads);
      recordStart();
      await wait(modelLoadMs * Math.max(1, runningModelLoads / loadsAtOnce));
      runningModelLoads -= 1;
    },
  };
}

/** Opens an HTTP stand-in of the host list and the weight store. */
export async function openPlatformStandin(
  options: PlatformOptions = {},
  port = 0,
): Promise<
  StandinServer & {
    setHost: (host: ListedHost) => void;
    removeHost: (id: string) => void;
    stats: WeightStoreStats;
  }
> {
  const { listLagMs = 0 } = options;
  const weightStore = createWeightStore(options);
  const hosts = new Map<string, ListedHost>();
  let isListUnavailable = false;

  const applyAfterLag = (change: () => void): void => {
    if (listLagMs === 0) change();
    else setTimeout(change, listLagMs);
  };
  const setHost = (host: ListedHost): void => applyAfterLag(() => hosts.set(host.id, host));
  const removeHost = (id: string): void => applyAfterLag(() => hosts.delete(id));

  const handle = async ({
    method,
    path,
    body,
    response,
    closeConnection,
  }: StandinRequest): Promise<void> => {
    if (path === '/hosts' && method === 'GET') {
      if (isListUnavailable) closeConnection();
      else sendJsonResponse(response, 200, { hosts: [...hosts.values()] });
    } else if (path === '/hosts' && method === 'PUT') {
      setHost(JSON.parse(body) as ListedHost);
      sendJsonResponse(response, 200, {});
    } else if (path.startsWith('/hosts/') && method === 'DELETE') {
      removeHost(decodeURIComponent(path.slice('/hosts/'.length)));
      sendJsonResponse(response, 200, {});
    } else if (path === '/weights/load') {
      await weightStore.load(String(parseJsonBody(body).kind));
      sendJsonResponse(response, 200, {});
    } else if (path === '/faults') {
      isListUnavailable = parseJsonBody(body).listAway === true;
      sendJsonResponse(response, 200, {});
    } else if (path === '/stats') sendJsonResponse(response, 200, weightStore.stats);
    else sendJsonResponse(response, 404, { error: `no ${method} ${path}` });
  };
  const server = await openStandinServer(handle, port);
  return { ...server, setHost, removeHost, stats: weightStore.stats };
}
