import { encodeColdTimes } from '../../coldTimeMessages.js';
import { MAX_REPORTED_LEAVES, type FleetReport } from '../../fleetMessages.js';
import { encodePaceSamples } from '../../paceMessages.js';
import { encodeRequestLimits } from '../../requestLimitMessages.js';
import type { FleetMemberOptions } from '../types.js';
import { encodeLoads, type UsageTracker } from './createUsageTracker.js';

/** What the report of a host is collected from. */
export interface ReportSources extends Pick<
  FleetMemberOptions,
  | 'clock'
  | 'host'
  | 'incarnation'
  | 'serverRegistry'
  | 'serverNotices'
  | 'serverPaces'
  | 'admission'
  | 'concurrency'
  | 'rateLimiter'
> {
  /** Number of the report since the start of the host. */
  number: number;
  /** Version of the configuration that the host has. */
  version: number;
  usage: UsageTracker;
  /** Evidence of prompt parts that crash servers. */
  crashes: Pick<FleetReport, 'crashes' | 'servedParts'>;
}

/** Collects the state that a host reports to the leader; counts since the last report start anew. */
export function collectReport(sources: ReportSources): FleetReport {
  const { clock, serverRegistry, serverNotices, rateLimiter, usage } = sources;
  const nowMs = clock.monotonicMs();
  return {
    type: 'report',
    host: sources.host,
    incarnation: sources.incarnation,
    number: sources.number,
    version: sources.version,
    loads: encodeLoads(serverRegistry.getOwnLoads()),
    admitted: Object.fromEntries(rateLimiter.getAdmitted()),
    shares: Object.fromEntries(rateLimiter.getShares()),
    demand: usage.takeDemand(),
    requests: usage.takeRequests(),
    inUse: usage.listInUse(),
    silent: serverRegistry.listSilent(),
    unreachable: serverRegistry.listUnreachable(),
    leaving: serverNotices.listUnregistered().slice(0, MAX_REPORTED_LEAVES),
    limits: encodeRequestLimits(serverNotices.takeChangedLimits(), nowMs),
    cold: encodeColdTimes(serverNotices.takeChangedColdTimes(), nowMs),
    paces: encodePaceSamples(sources.serverPaces.takeSamples()),
    admission: sources.admission.takeSamples(),
    concurrency: sources.concurrency.takeReport(),
    prefixUses: serverRegistry.takePrefixUses(),
    ...sources.crashes,
  };
}
