import type { BackendServer } from '../../../ports/serving.js';
import type { FleetView } from '../../fleetMessages.js';

function isSameServer(told: BackendServer | undefined, server: BackendServer): boolean {
  return told === server || (told !== undefined && JSON.stringify(told) === JSON.stringify(server));
}

/** Lists what has changed of the servers since a host was told, and notes that it is told now. */
export function collectServerChanges(
  told: Map<string, BackendServer>,
  servers: ReadonlyMap<string, BackendServer>,
): Pick<FleetView, 'servers' | 'removed'> {
  const removed = [...told.keys()].filter((id) => !servers.has(id));
  for (const id of removed) told.delete(id);
  const changed: FleetView['servers'] = [];
  for (const [id, server] of servers) {
    if (isSameServer(told.get(id), server)) continue;
    told.set(id, server);
    changed.push({
      ...server,
      models: server.models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
    });
  }
  return { servers: changed, removed };
}
