import type { BackendServer } from '../../../ports/serving.js';
import type { FleetView } from '../../fleetMessages.js';

function isSameServer(sent: BackendServer | undefined, server: BackendServer): boolean {
  return sent === server || (sent !== undefined && JSON.stringify(sent) === JSON.stringify(server));
}

/** Collects the servers that changed since the last view of a host, and marks them as sent. */
export function collectServerChanges(
  sent: Map<string, BackendServer>,
  servers: ReadonlyMap<string, BackendServer>,
): Pick<FleetView, 'servers' | 'removed'> {
  const removed = [...sent.keys()].filter((id) => !servers.has(id));
  for (const id of removed) sent.delete(id);
  const changed: FleetView['servers'] = [];
  for (const [id, server] of servers) {
    if (isSameServer(sent.get(id), server)) continue;
    sent.set(id, server);
    changed.push({
      ...server,
      models: server.models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
    });
  }
  return { servers: changed, removed };
}
