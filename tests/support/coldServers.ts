import type { BackendServer, ServingConfiguration } from '#dist/ports/serving.js';
import type { ServerNotices } from '#dist/serving/createServerNotices/types.js';
import {
  collectServerChanges,
  type SentServers,
} from '#dist/serving/startFleetLeader/_lib/collectServerChanges.js';

/** When the first half of the simulated servers is cold; they all turn cold at once. */
export const COLD_FROM_MS = 6000;
export const COLD_UNTIL_MS = 15_000;

/** Builds a configuration whose only service has cold starts. */
export function buildColdConfiguration(coldRequestsPerSecond: number): ServingConfiguration {
  const service = { name: 'llm', maximumConnections: 9, coldStartMs: 9000, coldRequestsPerSecond };
  const [maximumHeaderBytes, maximumBodyBytes, headerTimeoutMs, idleTimeoutMs] = [1, 1, 1, 1];
  return {
    version: 1,
    routes: [],
    services: new Map([['llm', service]]),
    limits: { maximumHeaderBytes, maximumBodyBytes, headerTimeoutMs, idleTimeoutMs },
  };
}

/** Builds a registration of the service in `buildColdConfiguration`. */
export function buildColdServer(id: string, change: Partial<BackendServer> = {}): BackendServer {
  const endpoint = { address: '127.0.0.1', port: 1, dataCentre: 'a' };
  const server = { id, service: 'llm', ...endpoint, slots: 8, isLeaving: false, models: [] };
  return { ...server, incarnation: `${id}/1`, renewals: 1, coldRemainingMs: 0, ...change };
}

/** Registers the servers as of a moment; they renew their registrations every 1.2 s. */
export function buildRegistrations(ids: readonly string[], nowMs: number) {
  const isCold = nowMs >= COLD_FROM_MS && nowMs < COLD_UNTIL_MS;
  const entries = ids.map((id, index): [string, BackendServer] => {
    const coldRemainingMs = isCold && index < ids.length / 2 ? COLD_UNTIL_MS - nowMs : 0;
    return [id, buildColdServer(id, { renewals: nowMs / 1200, coldRemainingMs })];
  });
  return new Map(entries);
}

/** How a simulated host learns of registrations. */
export interface InformedHost {
  notices: ServerNotices;
  isCut: boolean;
  sent: SentServers;
  completeAtMs: number;
}

/** Gives registrations to the leader, by its views to the others, or to all where none leads. */
export function giveRegistrations(
  registered: ReadonlyMap<string, BackendServer>,
  hosts: readonly InformedHost[],
  leading: InformedHost | undefined,
  nowMs: number,
): void {
  const list = leading?.notices.applyTo(registered);
  for (const host of hosts) {
    if (host.isCut && host !== leading) continue;
    host.completeAtMs = nowMs;
    if (host === leading) continue;
    const { servers } =
      list === undefined
        ? { servers: [...registered.values()] }
        : collectServerChanges(host.sent, list, true, nowMs);
    host.notices.applyTo(new Map(servers.map((server) => [server.id, server])));
  }
}
