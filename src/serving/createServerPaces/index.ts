import { computeLatencyRatio } from '../../decisions/pace/computeLatencyRatio/index.js';
import { EMPTY_PACE_SAMPLE, mergePaceSample } from '../../decisions/pace/mergePaceSample/index.js';
import type { PaceSample, ServerPace } from '../../decisions/pace/types.js';

/** How servers pace their responses: what this host measures, and what all hosts together know. */
export interface ServerPaces {
  /** Records a time to first byte, and the estimate for it on a server of ordinary speed. */
  recordFirstByteDelay: (server: string, measuredMs: number, estimatedMs: number) => void;
  /** Records a stream of a route that declares the longest pause between events. */
  recordStream: (server: string, isSlow: boolean) => void;
  /** Returns what was recorded since the last call, by server. */
  takeSamples: () => Map<string, PaceSample>;
  /** Sets the paces as the leader computed them from the samples of all hosts. */
  setFleetPaces: (paces: ReadonlyMap<string, ServerPace>) => void;
  /** Sets how much slower servers are than the others of their service; absent ones are not. */
  setFleetExcesses: (excesses: ReadonlyMap<string, ServerPace>) => void;
  /** Share of slow streams of a server above that of the others of its service. */
  getSlowShare: (server: string) => number;
  /** Counts the servers of which most streams pause for too long. */
  countSlow: () => number;
  /** Ratio of the measured to the estimated time to first byte, given what this host measured itself. */
  getLatencyRatio: (server: string, ownRatio: number, ownResponses: number) => number;
}

const SLOW_SHARE = 0.5; // more than half of the streams are late
const MAX_SERVERS = 10_000; // far more than the servers of a fleet

/** Options of the paces. */
export interface ServerPacesOptions {
  /** How much the pace of servers counts in choices; 0, for no paces at all, by default. */
  weight?: number;
}

/** Creates the paces of a host that has measured nothing yet. */
export function createServerPaces({ weight = 0 }: ServerPacesOptions = {}): ServerPaces {
  let samples = new Map<string, PaceSample>();
  let fleetPaces: ReadonlyMap<string, ServerPace> = new Map();
  let fleetExcesses: ReadonlyMap<string, ServerPace> = new Map();
  const add = (server: string, sample: Partial<PaceSample>): void => {
    // Reports and views of paces that nobody uses would take as many bytes as all loads.
    if (weight === 0) return;
    const older = samples.get(server);
    // Without a leader nobody takes the samples.
    if (older === undefined && samples.size >= MAX_SERVERS) return;
    const newer = { ...EMPTY_PACE_SAMPLE, ...sample };
    samples.set(server, mergePaceSample(older ?? EMPTY_PACE_SAMPLE, newer));
  };
  return {
    recordFirstByteDelay: (server, measuredMs, estimatedMs) =>
      add(server, { measuredMs, estimatedMs }),
    recordStream: (server, isSlow) => add(server, { streams: 1, slowStreams: isSlow ? 1 : 0 }),
    takeSamples: () => {
      const taken = samples;
      samples = new Map();
      return taken;
    },
    setFleetPaces: (paces) => {
      fleetPaces = paces;
    },
    setFleetExcesses: (excesses) => {
      fleetExcesses = excesses;
    },
    getSlowShare: (server) => weight * (fleetExcesses.get(server)?.slowShare ?? 0),
    countSlow: () =>
      [...fleetPaces.values()].filter(({ slowShare }) => slowShare > SLOW_SHARE).length,
    getLatencyRatio: (server, ownRatio, ownResponses) =>
      computeLatencyRatio({
        ownRatio,
        ownResponses,
        fleetRatio: weight > 0 ? fleetExcesses.get(server)?.latencyRatio : undefined,
      }),
  };
}
