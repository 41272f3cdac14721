import { setTimeout as wait } from 'node:timers/promises';
import type { ListedHost } from '../../ports/hostList.js';
import {
  openStandinServer,
  parseJsonBody,
  sendJsonReply,
  type StandinRequest,
  type StandinServer,
} from '../http.js';

/** Limits and faults of the list and weight store. */
export interface PlatformOptions {
  /** Milliseconds after which a change shows in the list. */
  listLagMs?: number;
  /** Model loads that may start a second. */
  loadsPerSecond?: number;
  /** Model loads at full speed at once. */
  loadsAtOnce?: number;
  /** Milliseconds that a model load takes at full speed. */
  modelLoadMs?: number;
  adaptersInFlight?: number;
  /** Milliseconds that an adapter load takes at full speed. */
  adapterLoadMs?: number;
}

/** What the weight store has counted. */
export interface WeightStoreStats {
  modelLoads: number;
  adapterLoads: number;
  mostModelsAtOnce: number;
  mostAdaptersAtOnce: number;
  /** Model loads above the limit of starts a second. */
  startsOverLimit: number;
}

const MILLISECONDS = 1000;

interface WeightStore {
  load: (kind: string) => Promise<void>;
  stats: WeightStoreStats;
}

/** Creates a weight store whose loads take proportionally longer above its limits. */
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
  let models = 0;
  let adapters = 0;
  let starts: number[] = [];

  const recordStart = (): void => {
    const nowMs = performance.now();
    starts = [...starts.filter((atMs) => nowMs - atMs < MILLISECONDS), nowMs];
    // One start may be saved up beside those of the second itself.
    if (starts.length > loadsPerSecond + Math.max(1, loadsPerSecond)) stats.startsOverLimit += 1;
  };

  return {
    stats,
    load: async (kind) => {
      if (kind === 'adapter') {
        stats.adapterLoads += 1;
        adapters += 1;
        stats.mostAdaptersAtOnce = Math.max(stats.mostAdaptersAtOnce, adapters);
        await wait(adapterLoadMs * Math.max(1, adapters / adaptersInFlight));
        adapters -= 1;
        return;
      }
      stats.modelLoads += 1;
      models += 1;
      stats.mostModelsAtOnce = Math.max(stats.mostModelsAtOnce, models);
      recordStart();
      await wait(modelLoadMs * Math.max(1, models / loadsAtOnce));
      models -= 1;
    },
  };
}

/** Opens the stand-in of the host list and the weight store. */
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
  const store = createWeightStore(options);
  const hosts = new Map<string, ListedHost>();
  let isListAway = false;

  const changeLater = (change: () => void): void => {
    if (listLagMs === 0) change();
    else setTimeout(change, listLagMs);
  };
  const setHost = (host: ListedHost): void => changeLater(() => hosts.set(host.id, host));
  const removeHost = (id: string): void => changeLater(() => hosts.delete(id));

  const handle = async ({
    method,
    path,
    body,
    response,
    closeConnection,
  }: StandinRequest): Promise<void> => {
    if (path === '/hosts' && method === 'GET') {
      if (isListAway) closeConnection();
      else sendJsonReply(response, 200, { hosts: [...hosts.values()] });
    } else if (path === '/hosts' && method === 'PUT') {
      setHost(JSON.parse(body) as ListedHost);
      sendJsonReply(response, 200, {});
    } else if (path.startsWith('/hosts/') && method === 'DELETE') {
      removeHost(decodeURIComponent(path.slice('/hosts/'.length)));
      sendJsonReply(response, 200, {});
    } else if (path === '/weights/load') {
      await store.load(String(parseJsonBody(body).kind));
      sendJsonReply(response, 200, {});
    } else if (path === '/faults') {
      isListAway = parseJsonBody(body).listAway === true;
      sendJsonReply(response, 200, {});
    } else if (path === '/stats') sendJsonReply(response, 200, store.stats);
    else sendJsonReply(response, 404, { error: `no ${method} ${path}` });
  };
  const server = await openStandinServer(handle, port);
  return { ...server, setHost, removeHost, stats: store.stats };
}
