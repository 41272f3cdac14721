import type { FleetReport, FleetView } from '../../fleetMessages.js';

/** Adds up the loads that hosts report, by server. */
export function addLoads(reports: readonly Pick<FleetReport, 'loads'>[]): FleetView['loads'] {
  const loads: FleetView['loads'] = {};
  for (const report of reports)
    for (const [server, [active, backlog, reserved, urgent]] of Object.entries(report.loads)) {
      const sum = loads[server] ?? [0, 0, 0, 0];
      loads[server] = [sum[0] + active, sum[1] + backlog, sum[2] + reserved, sum[3] + urgent];
    }
  return loads;
}
