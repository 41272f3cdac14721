import type { BackendServer } from '../../../ports/serving.js';
import type { FleetView } from '../../fleetMessages.js';

/** Compares what hosts act on; copies of weights matter to the leader only, and renewals to no choice. */
function isSameServer(sent: BackendServer | undefined, server: BackendServer): boolean {
  const encode = (item: BackendServer): string =>
    JSON.stringify({ ...item, copies: undefined, renewals: undefined });
  return sent === server || (sent !== undefined && encode(sent) === encode(server));
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
): Pick<FleetView, 'servers' | 'removed' | 'isSnapshot'> {
  const { servers: sent } = sentServers;
  const isSnapshot = isCurrent && !sentServers.hasSnapshot;
  if (isSnapshot) sent.clear();
  sentServers.hasSnapshot ||= isSnapshot;
  const removed = [...sent.keys()].filter((id) => !servers.has(id));
  for (const id of removed) sent.delete(id);
  const changed: FleetView['servers'] = [];
  for (const [id, server] of servers) {
    if (isSameServer(sent.get(id), server)) continue;
    sent.set(id, server);
    const sentServer: FleetView['servers'][number] & Pick<BackendServer, 'copies'> = {
      ...server,
      models: server.models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
    };
    delete sentServer.copies;
    changed.push(sentServer);
  }
  return { servers: changed, removed, isSnapshot };
}
