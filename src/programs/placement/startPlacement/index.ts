import { setTimeout as wait } from 'node:timers/promises';
import { systemClock } from '../../../adapters/clock/index.js';
import { createEngineControl } from '../../../adapters/engine/index.js';
import { createHttpHostList } from '../../../adapters/hostList/index.js';
import { createEtcdKeyValueService } from '../../../adapters/keyValueService/index.js';
import { createLog } from '../../../adapters/log/index.js';
import { createMetrics } from '../../../adapters/metrics/index.js';
import { createControlState } from '../../../coordination/createControlState/index.js';
import { syncControlState } from '../../../coordination/syncControlState/index.js';
import { runLeaderElection } from '../../../coordination/runLeaderElection/index.js';
import { StorageKeys } from '../../../coordination/storageKeys.js';
import type { Demand } from '../../../decisions/placement/types.js';
import type { ListedHost } from '../../../ports/hostList.js';
import { pollHostList } from '../../entry/_lib/pollHostList.js';
import { leadPlacement } from '../_lib/leadPlacement.js';
import { readDemand } from '../_lib/readDemand.js';
import type { PlacementSettings } from '../settings.js';

const DEMAND_POLL_INTERVAL_MS = 2000;

/** A running placement process. */
export interface PlacementProcess {
  /** Releases the leadership and stops. */
  stop: () => Promise<void>;
}

/** Starts a placement process; it updates the ledger and orders engines only while it is the leader. */
export function startPlacement(settings: PlacementSettings): Promise<PlacementProcess> {
  const { hostId: host, dataCentre } = settings;
  const clock = systemClock;
  const stopping = new AbortController();
  const { signal } = stopping;
  const log = createLog('bronzelanding-placement', {
    level: settings.logLevel,
    fields: { host, dataCentre },
  });
  const metrics = createMetrics({ statsd: settings.statsd, tags: { host, dataCentre } });
  const service = createEtcdKeyValueService(settings.keyValueService, {
    timeoutMs: settings.keyValueTimeoutMs,
    onCall: (kind) => metrics.increment('key_value_calls', 1, { kind }),
  });
  const controlState = createControlState(settings.operatorKeys, log);
  const engineControl = createEngineControl();
  let hosts: readonly ListedHost[] = [];
  let demand: Demand = {};

  const pollDemand = async (): Promise<void> => {
    while (!signal.aborted) {
      // After a failed read the last demand stays in use.
      demand = await readDemand(settings.entryStatus).catch(() => demand);
      await wait(DEMAND_POLL_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
    }
  };

  const tasks = [
    syncControlState({ service, controlState, log, signal }),
    pollHostList({
      hostList: createHttpHostList(settings.hostList),
      pollMs: settings.hostListPollMs,
      log,
      onHosts: (listed) => {
        hosts = listed;
      },
      signal,
    }),
    pollDemand(),
    runLeaderElection({
      service,
      clock,
      log,
      key: StorageKeys.placementLeader,
      host,
      leaseSeconds: settings.leaseSeconds,
      runAsLeader: (leadership, leaderSignal) =>
        leadPlacement({
          settings,
          service,
          engineControl,
          controlState,
          clock,
          log,
          metrics,
          listHosts: () => hosts,
          getDemand: () => demand,
          leadership,
          signal: leaderSignal,
        }),
      signal,
    }),
  ];
  log.info({}, 'started');
  return Promise.resolve({
    stop: async () => {
      stopping.abort();
      await Promise.all(tasks);
      await service.close();
      metrics.close();
      log.info({}, 'planned stop finished');
    },
  });
}
