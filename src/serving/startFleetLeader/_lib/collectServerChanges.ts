import type { BackendServer } from '../../../ports/serving.js';
import type { FleetView } from '../../fleetMessages.js';

/** Keeps the renewals of a cold server, whose ends differ by their way, from being sent on. */
const COLD_TOLERANCE_MS = 200;
const NOT_COMPARED = {
  copies: undefined,
  renewals: undefined,
  coldRemainingMs: undefined,
  warmAtMs: undefined,
};

/** Compares what hosts act on; copies of weights matter to the leader only, and renewals to no choice. */
function isSameServer(sent: BackendServer, server: BackendServer, nowMs: number): boolean {
  const encode = (item: BackendServer): string => JSON.stringify({ ...item, ...NOT_COMPARED });
  const differenceMs = computeColdMs(server, nowMs) - computeColdMs(sent, nowMs);
  if (Math.abs(differenceMs) > COLD_TOLERANCE_MS) return false;
  return sent === server || encode(sent) === encode(server);
}

function computeColdMs({ warmAtMs = -Infinity }: BackendServer, nowMs: number): number {
  return Math.max(0, warmAtMs - nowMs);
}

/** Servers as they were last sent to a host. */
export interface SentServers {
  servers: Map<string, BackendServer>;
  /** Whether the host was sent all servers at one time. */
  hasSnapshot: boolean;
}

/** Creates the record of a host that was sent nothing. */
export function createSentServers(): SentServers {
  return { servers: new Map(), hasSnapshot: false };
}

/**
 * Collects the servers that changed since the last view of a host, and marks them as sent. The first
 * time that the servers are current it collects all of them: what the host knows beyond these, from its
 * own reads or another leader, has been removed since.
 */
export function collectServerChanges(
  sentServers: SentServers,
  servers: ReadonlyMap<string, BackendServer>,
  isCurrent: boolean,
  nowMs: number,
): Pick<FleetView, 'servers' | 'removed' | 'isSnapshot'> {
  const { servers: sent } = sentServers;
  const isSnapshot = isCurrent && !sentServers.hasSnapshot;
  if (isSnapshot) sent.clear();
  sentServers.hasSnapshot ||= isSnapshot;
  const removed = [...sent.keys()].filter((id) => !servers.has(id));
  for (const id of removed) sent.delete(id);
  const changed: FleetView['servers'] = [];
  for (const [id, server] of servers) {
    const known = sent.get(id);
    if (known !== undefined && isSameServer(known, server, nowMs)) continue;
    sent.set(id, server);
    const coldMs = computeColdMs(server, nowMs);
    const sentServer: FleetView['servers'][number] & Pick<BackendServer, 'copies' | 'warmAtMs'> = {
      ...server,
      // Ends that are later by no more than the tolerance are not sent.
      coldRemainingMs: coldMs > 0 ? Math.round(coldMs + COLD_TOLERANCE_MS) : 0,
      models: server.models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
    };
    delete sentServer.copies;
    delete sentServer.warmAtMs;
    changed.push(sentServer);
  }
  return { servers: changed, removed, isSnapshot };
}
