import { computePaceExcesses } from '../../../decisions/pace/computePaceExcesses/index.js';
import { computeServerPace } from '../../../decisions/pace/computeServerPace/index.js';
import {
  EMPTY_PACE_SAMPLE,
  mergePaceSample,
} from '../../../decisions/pace/mergePaceSample/index.js';
import type { PaceSample, ServerPace } from '../../../decisions/pace/types.js';
import type { Clock } from '../../../ports/clock.js';
import type { BackendServer } from '../../../ports/serving.js';
import { decodePaceSamples, encodeServerPaces, type SentPaces } from '../../paceMessages.js';
import type { FleetReport } from '../../fleetMessages.js';

/** Paces of the servers from the reports of all hosts. */
export interface PaceMeter {
  record: (samples: FleetReport['paces']) => void;
  /** Computes the paces for the views of one round, from time to time. */
  update: (servers: ReadonlyMap<string, Pick<BackendServer, 'service'>>) => void;
  /** Share of slow streams of a server above that of the others of its service. */
  findExcessShare: (server: string) => number;
  /** Returns all paces for a host's view; none when the host has them already. */
  takePaces: (host: string) => SentPaces;
  /** Forgets what was sent to a host. */
  resetSent: (host: string) => void;
}

// A speed lasts for as long as its server; trouble and load on a server change within seconds.
const HALF_LIFE_MS = 6000;
const UPDATE_INTERVAL_MS = 1000; // half of the responses that a busy server needs to change its pace

/** Computes the excesses of all servers, each among those of its service. */
function computeExcesses(
  samples: ReadonlyMap<string, PaceSample>,
  servers: ReadonlyMap<string, Pick<BackendServer, 'service'>>,
): Map<string, ServerPace> {
  const samplesByService = new Map<string, Map<string, PaceSample>>();
  for (const [server, sample] of samples) {
    const service = servers.get(server)?.service;
    if (service === undefined) continue;
    const ofService = samplesByService.get(service) ?? new Map<string, PaceSample>();
    samplesByService.set(service, ofService.set(server, sample));
  }
  return new Map(
    [...samplesByService.values()].flatMap((items) => [...computePaceExcesses(items)]),
  );
}

/** Creates the meter of a new leader. */
export function createPaceMeter(clock: Clock): PaceMeter {
  const samples = new Map<string, PaceSample>();
  const sentNumbers = new Map<string, number>();
  let updatedAtMs = clock.monotonicMs();
  let updateNumber = 0;
  let excesses = new Map<string, ServerPace>();
  let encoded: SentPaces = {};
  return {
    record: (reported) => {
      for (const [server, sample] of decodePaceSamples(reported))
        samples.set(server, mergePaceSample(samples.get(server) ?? EMPTY_PACE_SAMPLE, sample));
    },
    update: (servers) => {
      const elapsedMs = clock.monotonicMs() - updatedAtMs;
      if (elapsedMs < UPDATE_INTERVAL_MS) return;
      updatedAtMs += elapsedMs;
      const factor = 0.5 ** (elapsedMs / HALF_LIFE_MS);
      for (const [server, sample] of samples)
        if (servers.has(server))
          samples.set(server, mergePaceSample(sample, EMPTY_PACE_SAMPLE, factor));
        else samples.delete(server);
      const paces = new Map(
        [...samples].map(([server, sample]) => [server, computeServerPace(sample)]),
      );
      excesses = computeExcesses(samples, servers);
      encoded = { paces: encodeServerPaces(paces), paceExcesses: encodeServerPaces(excesses) };
      updateNumber += 1;
    },
    findExcessShare: (server) => excesses.get(server)?.slowShare ?? 0,
    takePaces: (host) => {
      if ((sentNumbers.get(host) ?? 0) === updateNumber) return {};
      sentNumbers.set(host, updateNumber);
      return encoded;
    },
    resetSent: (host) => {
      sentNumbers.delete(host);
    },
  };
}
