import type { ServerLoad } from '../../createServerBook/index.js';
import type { FleetView } from '../../fleetMessages.js';

/** Computes the loads of the other hosts: those of all hosts without what this host had reported. */
export function computeOthers(view: FleetView): Map<string, ServerLoad> {
  return new Map(
    Object.entries(view.loads).map(([server, [active, backlog, held, urgent]]) => {
      const own = view.ownLoads[server] ?? [0, 0, 0, 0];
      return [
        server,
        {
          active: Math.max(0, active - own[0]),
          backlogTokens: Math.max(0, backlog - own[1]),
          heldTokens: Math.max(0, held - own[2]),
          urgentTokens: Math.max(0, urgent - own[3]),
        },
      ];
    }),
  );
}
