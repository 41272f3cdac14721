import { computeServerPace } from '../../../decisions/pace/computeServerPace/index.js';
import {
  EMPTY_PACE_SAMPLE,
  mergePaceSample,
} from '../../../decisions/pace/mergePaceSample/index.js';
import type { PaceSample, ServerPace } from '../../../decisions/pace/types.js';
import type { Clock } from '../../../ports/clock.js';
import { decodePaceSamples, encodeServerPaces, type SentServerPaces } from '../../paceMessages.js';
import type { FleetReport } from '../../fleetMessages.js';

/** Paces of the servers from the reports of all hosts. */
export interface PaceMeter {
  record: (samples: FleetReport['paces']) => void;
  /** Computes the paces for the views of one round, from time to time. */
  update: (servers: ReadonlySet<string>) => void;
  /** Pace of a server as of the last update; undefined without a response. */
  find: (server: string) => ServerPace | undefined;
  /** Returns all paces for a host's view; undefined when the host has them already. */
  takePaces: (host: string) => SentServerPaces | undefined;
  /** Forgets what was sent to a host. */
  resetSent: (host: string) => void;
}

// A speed lasts for as long as its server; trouble and load on a server change within seconds.
const HALF_LIFE_MS = 6000;
const UPDATE_INTERVAL_MS = 1000; // half of the responses that a busy server needs to change its pace

/** Creates the meter of a new leader. */
export function createPaceMeter(clock: Clock): PaceMeter {
  const samples = new Map<string, PaceSample>();
  const sentNumbers = new Map<string, number>();
  let updatedAtMs = clock.monotonicMs();
  let updateNumber = 0;
  let paces = new Map<string, ServerPace>();
  let encoded: SentServerPaces = {};
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
      paces = new Map([...samples].map(([server, sample]) => [server, computeServerPace(sample)]));
      encoded = encodeServerPaces(paces);
      updateNumber += 1;
    },
    find: (server) => paces.get(server),
    takePaces: (host) => {
      if ((sentNumbers.get(host) ?? 0) === updateNumber) return undefined;
      sentNumbers.set(host, updateNumber);
      return encoded;
    },
    resetSent: (host) => {
      sentNumbers.delete(host);
    },
  };
}
