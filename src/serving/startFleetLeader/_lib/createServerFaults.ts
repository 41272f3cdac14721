import type { Clock } from '../../../ports/clock.js';
import type { FleetReport } from '../../fleetMessages.js';

type ServerFaultReport = Pick<FleetReport, 'silent' | 'unreachable'>;

/** Faults of servers as the hosts report them. */
export interface ServerFaults {
  /** Records the current reports of all hosts; returns the servers that hosts should avoid. */
  updateSuspects: (reports: readonly ServerFaultReport[]) => string[];
  /** Whether several hosts could not connect to a server a moment ago. */
  isUnreachable: (server: string) => boolean;
}

const MIN_REPORTING_HOSTS = 2; // a single host may itself have lost its connection to the server
// Hosts try a server again after their backoff; until then none of them reports it.
const UNREACHABLE_MEMORY_MS = 2500;

/** Lists the servers that enough of the reports name. */
function listAgreed(
  reports: readonly ServerFaultReport[],
  listServers: (report: ServerFaultReport) => readonly string[],
): string[] {
  const counts = new Map<string, number>();
  for (const report of reports)
    for (const server of new Set(listServers(report)))
      counts.set(server, (counts.get(server) ?? 0) + 1);
  const required = Math.min(MIN_REPORTING_HOSTS, reports.length);
  return [...counts].filter(([, count]) => count >= required).map(([server]) => server);
}

/**
 * Collects the faults that hosts report. A server that several hosts cannot connect to is avoided by
 * all of them, and its replicas count as lost, before its registration lapses seconds later; one that
 * is only silent is avoided, but keeps its replicas, as it may be busy.
 */
export function createServerFaults(clock: Clock): ServerFaults {
  const unreachableAtMs = new Map<string, number>();
  return {
    updateSuspects: (reports) => {
      const nowMs = clock.monotonicMs();
      for (const [server, atMs] of unreachableAtMs)
        if (nowMs - atMs > UNREACHABLE_MEMORY_MS) unreachableAtMs.delete(server);
      for (const server of listAgreed(reports, ({ unreachable }) => unreachable))
        unreachableAtMs.set(server, nowMs);
      return listAgreed(reports, ({ silent, unreachable }) => [...silent, ...unreachable]);
    },
    isUnreachable: (server) =>
      clock.monotonicMs() - (unreachableAtMs.get(server) ?? -Infinity) <= UNREACHABLE_MEMORY_MS,
  };
}
