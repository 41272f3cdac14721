import { setTimeout as wait } from 'node:timers/promises';
import type { Clock } from '../../../ports/clock.js';
import type { ServingConfiguration } from '../../../ports/serving.js';
import type { ServerRegistry } from '../../createServerRegistry/index.js';
import type { FleetLeader } from '../../startFleetLeader/index.js';
import type { PlacementClient } from '../../types.js';
import type { AdapterRequests } from './createAdapterRequests.js';
import { createGrantWaits } from './createGrantWaits.js';

/** Options of the placement client. */
export interface PlacementClientOptions extends Pick<PlacementClient, 'recordDemand'> {
  clock: Clock;
  serverRegistry: Pick<ServerRegistry, 'listCandidates'>;
  adapterRequests: AdapterRequests;
  /** The leader, if it is this host. */
  getLeader: () => FleetLeader | undefined;
  isLed: () => boolean;
  getConfiguration: () => ServingConfiguration | undefined;
  /** When a model that is being loaded is expected to be ready, by `SERVICE/MODEL`. */
  findReadyAtMs: (key: string) => number | undefined;
}

const LOAD_START_DELAY_MS = 700; // planning pass, announcement of the unload, and order
const MODEL_POLL_INTERVAL_MS = 40; // far below the shortest latency target

/** Creates this host's client for what the leader places on engines. */
export function createPlacementClient(options: PlacementClientOptions): PlacementClient {
  const { clock, serverRegistry, adapterRequests, getLeader } = options;
  const grantWaits = createGrantWaits();
  return {
    requestAdapter: (request, caller) =>
      grantWaits.waitForGrant(
        `${request.model}/${request.adapter}`,
        caller,
        (isWanted) =>
          getLeader()?.grantAdapter(request, isWanted) ?? adapterRequests.request(request),
      ),
    recordDemand: options.recordDemand,
    getLoadingMs: (service, model) =>
      Math.max(0, (options.findReadyAtMs(`${service}/${model}`) ?? 0) - clock.monotonicMs()),
    estimateModelMs: (service, model) => {
      if (!options.isLed()) return undefined;
      const spec = options
        .getConfiguration()
        ?.services.get(service)
        ?.engines?.models.find(({ name }) => name === model);
      if (spec === undefined) return undefined;
      const readyAtMs = options.findReadyAtMs(`${service}/${model}`);
      if (readyAtMs === undefined) return spec.loadMs + LOAD_START_DELAY_MS;
      return Math.max(MODEL_POLL_INTERVAL_MS, readyAtMs - clock.monotonicMs());
    },
    waitForModel: async ({ service, model }, waitMs, signal, getLastSendAtMs) => {
      const untilMs = clock.monotonicMs() + waitMs;
      const isOver = (): boolean => clock.monotonicMs() >= Math.min(untilMs, getLastSendAtMs());
      while (!isOver() && !signal.aborted) {
        if (serverRegistry.listCandidates({ service, model }).length > 0) return;
        await wait(MODEL_POLL_INTERVAL_MS);
      }
    },
  };
}
