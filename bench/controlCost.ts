import { setTimeout as wait } from 'node:timers/promises';
import { buildOrganisations, startFleet } from '../tests/support/fleet.js';
import { readProcessUsage } from './processUsage.js';

/** Control cost of a fleet: what its coordination uses without traffic. */
export interface ControlRow {
  hosts: number;
  organisations: number;
  models: number;
  /** Mean processor use of an entry host, in percent of a core. */
  cpuPercent: number;
  residentMegabytes: number;
  /** Mean kilobytes per second that a host sends to peers. */
  peerKilobytes: number;
  readsPerSecond: number;
  writesPerSecond: number;
  standingWatches: number;
}

const SETTLING_MS = 4000;
const MEASURE_MS = 6000;

async function readPeerBytes(origin: string): Promise<number> {
  const response = await fetch(`${origin}/status`);
  return ((await response.json()) as { peerBytesSent: number }).peerBytesSent;
}

async function measureFleet(
  hosts: number,
  organisations: number,
  models: number,
): Promise<ControlRow> {
  const rates = Array.from({ length: organisations }, (_unused, index) => ({
    name: `o${index}`,
    rate: 1000,
    burst: 2000,
  }));
  const fleet = await startFleet({
    entries: hosts,
    engines: 3,
    plainServers: 0,
    organisations: buildOrganisations(rates).organisations,
    engineOptions: { memoryBytes: 10_000 },
    bundle: {
      services: [{ name: 'moisture', engines: 3, memoryBytes: 10_000, window: 16 }],
      models: Array.from({ length: models }, (_unused, index) => ({
        name: `m${index}`,
        version: 'v1',
        service: 'moisture',
        bytes: 1,
        replicas: 1,
        class: 'standard' as const,
      })),
      adapters: [],
      limits: { loadsPerSecond: 5000, loadsAtOnce: 5000, adaptersInFlight: 10 },
    },
    platformOptions: { loadsPerSecond: 5000, loadsAtOnce: 5000, modelLoadMs: 1 },
    placementFlags: ['--round-ms', '250', '--report-poll-ms', '500'],
  });
  try {
    await fleet.waitUntilResident(`m${models - 1}`);
    await wait(SETTLING_MS);
    const callsBefore = { ...fleet.keyValueStandin.calls };
    const usageBefore = fleet.entries.map(({ process }) => readProcessUsage(process.pid));
    const bytesBefore = await Promise.all(
      fleet.entries.map(({ operatorOrigin }) => readPeerBytes(operatorOrigin)),
    );
    await wait(MEASURE_MS);
    const usageAfter = fleet.entries.map(({ process }) => readProcessUsage(process.pid));
    const bytesAfter = await Promise.all(
      fleet.entries.map(({ operatorOrigin }) => readPeerBytes(operatorOrigin)),
    );
    const seconds = MEASURE_MS / 1000;
    const mean = (values: readonly number[]): number =>
      values.reduce((sum, value) => sum + value, 0) / values.length;
    return {
      hosts,
      organisations,
      models,
      cpuPercent:
        (100 *
          mean(
            usageAfter.map(
              ({ cpuSeconds }, index) => cpuSeconds - (usageBefore[index]?.cpuSeconds ?? 0),
            ),
          )) /
        seconds,
      residentMegabytes: mean(usageAfter.map(({ residentMegabytes }) => residentMegabytes)),
      peerKilobytes:
        mean(bytesAfter.map((bytes, index) => bytes - (bytesBefore[index] ?? 0))) / seconds / 1000,
      readsPerSecond: (fleet.keyValueStandin.calls.read - callsBefore.read) / seconds,
      writesPerSecond: (fleet.keyValueStandin.calls.write - callsBefore.write) / seconds,
      standingWatches: fleet.keyValueStandin.calls.standingWatches,
    };
  } finally {
    await fleet.stop();
  }
}

/** Measures how the control cost grows with the number of hosts, organisations and models. */
export async function measureControlCost(): Promise<ControlRow[]> {
  const rows: ControlRow[] = [];
  for (const hosts of [2, 4, 8, 16]) rows.push(await measureFleet(hosts, 5, 3));
  rows.push(await measureFleet(8, 50, 3));

  rows.push(await measureFleet(8, 5, 300));
  return rows;
}
