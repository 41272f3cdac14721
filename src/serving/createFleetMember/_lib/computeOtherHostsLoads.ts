import type { ServerLoad } from '../../createServerRegistry/index.js';
import type { FleetView } from '../../fleetMessages.js';

/** Computes the loads of all other hosts by subtracting this host's own reported loads. */
export function computeOtherHostsLoads(view: FleetView): Map<string, ServerLoad> {
  return new Map(
    Object.entries(view.loads).map(([server, [active, backlog, reserved, urgent]]) => {
      const own = view.ownLoads[server] ?? [0, 0, 0, 0];
      return [
        server,
        {
          active: Math.max(0, active - own[0]),
          backlogTokens: Math.max(0, backlog - own[1]),
          reservedTokens: Math.max(0, reserved - own[2]),
          urgentBacklogTokens: Math.max(0, urgent - own[3]),
        },
      ];
    }),
  );
}
