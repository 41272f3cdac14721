import type { AdmissionDemand } from '../../../decisions/admission/types.js';
import { computeSizeIndex } from '../../../decisions/admission/computeLargeTokens/index.js';
import {
  encodeDemand,
  MAX_DEMAND_ENTRIES,
  type SentAdmissionSamples,
} from '../../admissionMessages.js';

/** A request as far as the demand is concerned. */
export interface DemandedRequest extends Pick<
  AdmissionDemand,
  'priority' | 'targetMs' | 'organisation'
> {
  service: string;
  tokens: number;
}

/** What this host was asked for since its last report. */
export interface DemandSamples {
  recordRequest: (request: DemandedRequest, isLarge: boolean) => void;
  recordStream: (service: string, isLate: boolean) => void;
  /** Returns what was recorded since the last call. */
  take: () => SentAdmissionSamples;
}

interface ServiceSamples {
  streams: number;
  lateStreams: number;
  demand: Map<string, AdmissionDemand>;
  sizes: number[];
}

/** Creates empty samples. */
export function createDemandSamples(): DemandSamples {
  let services = new Map<string, ServiceSamples>();
  const findService = (name: string): ServiceSamples => {
    let service = services.get(name);
    if (service === undefined) {
      service = { streams: 0, lateStreams: 0, demand: new Map(), sizes: [] };
      services.set(name, service);
    }
    return service;
  };
  return {
    recordRequest: ({ service: name, priority, targetMs, organisation, tokens }, isLarge) => {
      const { demand, sizes } = findService(name);
      const isFull = demand.size >= MAX_DEMAND_ENTRIES;
      const ownKey = `${priority}/${targetMs}/${organisation}`;
      const isListed = !isFull || demand.has(ownKey);
      const key = isListed ? ownKey : `${priority}/${targetMs}/`;
      const item = demand.get(key) ?? {
        priority,
        targetMs,
        organisation: isListed ? organisation : '',
        requests: 0,
        largeRequests: 0,
        work: 0,
      };
      item.requests += 1;
      item.largeRequests += isLarge ? 1 : 0;
      item.work += tokens;
      demand.set(key, item);
      const index = computeSizeIndex(tokens);
      while (sizes.length <= index) sizes.push(0);
      sizes[index] = (sizes[index] ?? 0) + 1;
    },
    recordStream: (name, isLate) => {
      const service = findService(name);
      service.streams += 1;
      if (isLate) service.lateStreams += 1;
    },
    take: () => {
      const taken = services;
      services = new Map();
      return Object.fromEntries(
        [...taken].map(([name, { demand, ...rest }]) => [
          name,
          { ...rest, demand: encodeDemand([...demand.values()].slice(0, 2 * MAX_DEMAND_ENTRIES)) },
        ]),
      );
    },
  };
}
