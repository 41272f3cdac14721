import type { ServerLoad } from '../../createServerRegistry/index.js';
import type { FleetReport } from '../../fleetMessages.js';

/** What was asked of models since the last report, and what requests use now. */
export interface UsageTracker {
  recordDemand: (key: string, work: number) => void;
  /** Takes the demand since it was taken last. */
  takeDemand: () => Record<string, number>;
  /** Keeps demand that could not be told for the next report. */
  restoreDemand: (demand: Record<string, number>) => void;
  recordUse: (key: string, change: 1 | -1) => void;
  listInUse: () => string[];
}

function addTo(counts: Map<string, number>, key: string, change: number): number {
  const count = (counts.get(key) ?? 0) + change;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
  return count;
}

/** Creates an empty book of work. */
export function createUsageTracker(): UsageTracker {
  const demand = new Map<string, number>();
  const uses = new Map<string, number>();
  return {
    recordDemand: (key, work) => void addTo(demand, key, work),
    takeDemand: () => {
      const taken = Object.fromEntries(demand);
      demand.clear();
      return taken;
    },
    restoreDemand: (untold) => {
      for (const [key, work] of Object.entries(untold)) addTo(demand, key, work);
    },
    recordUse: (key, change) => void addTo(uses, key, change),
    listInUse: () => [...uses.keys()],
  };
}

/** Encodes loads for a report. */
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
