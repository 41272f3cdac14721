import type { EnginePool } from '../../../../ports/serving.js';
import {
  createAdmissionControl,
  type AdmissionControl,
} from '../../../../serving/createAdmissionControl/index.js';
import {
  createConcurrencyLimits,
  type ConcurrencyLimits,
} from '../../../../serving/createConcurrencyLimits/index.js';
import { createHostQueue, type HostQueue } from '../../../../serving/createHostQueue/index.js';
import {
  createServerPaces,
  type ServerPaces,
} from '../../../../serving/createServerPaces/index.js';
import type { FleetEntryOptions } from '../types.js';

/** What a host knows and keeps for the decisions under heavy load. */
export interface LoadControl {
  serverPaces: ServerPaces;
  admission: AdmissionControl;
  concurrency: ConcurrencyLimits;
  hostQueue: HostQueue;
}

/** Creates the load control of a host; what its settings do not ask for has no effect. */
export function createLoadControl(
  options: FleetEntryOptions,
  findEngines: (service: string) => EnginePool | undefined,
): LoadControl {
  const { clock, settings, metrics } = options;
  const { load } = settings;
  const concurrency = createConcurrencyLimits({
    clock,
    random: options.random,
    lateShare: load.concurrencyLateShare,
    getTokensPerEvent: (service) => findEngines(service)?.tokensPerEvent ?? 1,
  });
  const hostQueue = createHostQueue({ clock, maximumLength: load.hostQueueLength });
  concurrency.onChange(hostQueue.wake);
  const serverPaces = createServerPaces({ weight: load.paceWeight });
  metrics.setSlowServerCounter(serverPaces.countSlow);
  metrics.setQueueCounter(hostQueue.count);
  metrics.observeConcurrencyLimits(concurrency.listLimits);
  return {
    serverPaces,
    admission: createAdmissionControl({ ...options, load }),
    concurrency,
    hostQueue,
  };
}
