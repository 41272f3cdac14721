import {
  computeBacklogUtilisation,
  findShortestTargetMs,
} from '../../../decisions/replicas/computeBacklogUtilisation/index.js';
import type { BackendServer, EnginePool, ServingConfiguration } from '../../../ports/serving.js';
import type { FleetView } from '../../fleetMessages.js';

/** Loads of servers from all hosts together, as of the last view. */
export interface ServerLoads {
  setConfiguration: (configuration: ServingConfiguration) => void;
  setLoads: (loads: FleetView['loads']) => void;
  /** Fraction of a server's slots or memory that is in use, whichever is larger. */
  measureUtilisation: (server: BackendServer, pool: EnginePool) => number;
  /** Prompt work that waits at a server, relative to what its callers accept; 0 where it does not count. */
  measureBacklog: (server: BackendServer) => number;
}

/** Creates the loads of servers, without any. */
export function createServerLoads(backlogWeight: number): ServerLoads {
  let loads: FleetView['loads'] = {};
  /** Shortest latency targets of the services with engines, in milliseconds. */
  let shortestTargetsMs: ReadonlyMap<string, number> = new Map();
  return {
    setConfiguration: ({ services, routes }) => {
      shortestTargetsMs = new Map(
        [...services.keys()].map((name) => [name, findShortestTargetMs(routes, name)]),
      );
    },
    setLoads: (next) => {
      loads = next;
    },
    measureUtilisation: ({ id, slots }, { memoryTokens }) => {
      const [active = 0, , reserved = 0] = loads[id] ?? [];
      return Math.max(active / slots, reserved / Math.max(1, memoryTokens));
    },
    measureBacklog: ({ id, service }) => {
      const [, backlogTokens = 0] = loads[id] ?? [];
      const targetMs = shortestTargetsMs.get(service) ?? Infinity;
      return backlogWeight * computeBacklogUtilisation(backlogTokens, targetMs);
    },
  };
}
