import type { ServerLoad } from '../../createServerRegistry/index.js';
import type { FleetReport } from '../../fleetMessages.js';

/** Demand for models since the last report, and models and adapters in use by requests. */
export interface UsageTracker {
  /** Adds a request's work to the demand for a model. */
  recordDemand: (service: string, model: string, work: number) => void;
  /** Returns the demand since the last call and resets it. */
  takeDemand: () => Record<string, number>;
  /** Returns the requests for models since the last call, by service, and resets them. */
  takeRequests: () => Record<string, number>;
  /** Adds back demand that could not be reported, for the next report. */
  restoreDemand: (demand: Record<string, number>) => void;
  recordUse: (key: string, change: 1 | -1) => void;
  /** Lists the keys with a positive use count. */
  listInUse: () => string[];
}

function addTo(counts: Map<string, number>, key: string, change: number): number {
  const count = (counts.get(key) ?? 0) + change;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
  return count;
}

/** Creates an empty usage tracker. */
export function createUsageTracker(): UsageTracker {
  const demand = new Map<string, number>();
  const requests = new Map<string, number>();
  const useCounts = new Map<string, number>();
  return {
    recordDemand: (service, model, work) => {
      addTo(demand, `${service}/${model}`, work);
      addTo(requests, service, 1);
    },
    takeDemand: () => {
      const taken = Object.fromEntries(demand);
      demand.clear();
      return taken;
    },
    takeRequests: () => {
      const taken = Object.fromEntries(requests);
      requests.clear();
      return taken;
    },
    restoreDemand: (unreported) => {
      for (const [key, work] of Object.entries(unreported)) addTo(demand, key, work);
    },
    recordUse: (key, change) => void addTo(useCounts, key, change),
    listInUse: () => [...useCounts.keys()],
  };
}

/** Encodes server loads as the tuples of a report. */
export function encodeLoads(loads: ReadonlyMap<string, ServerLoad>): FleetReport['loads'] {
  return Object.fromEntries(
    [...loads].map(([server, load]) => [
      server,
      [
        load.active,
        Math.round(load.backlogTokens),
        Math.round(load.reservedTokens),
        Math.round(load.urgentBacklogTokens),
      ],
    ]),
  );
}
