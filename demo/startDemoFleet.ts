import { startProcess, type RunningProcess } from '../tests/support/processes.js';

/** An entry host of the demo. */
export interface DemoEntry {
  id: string;
  process: RunningProcess;
  origin: string;
  operatorOrigin: string;
}

/** All processes of the demo. */
export interface DemoFleet {
  keyValueService: string;
  engines: string[];
  plainServers: string[];
  entries: DemoEntry[];
  processes: RunningProcess[];
}

const STANDIN = 'standin/main.js';
const ENGINE_BYTES = 80_000_000_000;

async function startStandin(
  all: RunningProcess[],
  name: string,
  ...args: string[]
): Promise<string> {
  const process = startProcess(name, STANDIN, args);
  all.push(process);
  const { port } = await process.waitForLine(({ msg }) => msg === 'listening');
  return `http://127.0.0.1:${String(port)}`;
}

async function setHost(platform: string, host: Record<string, unknown>): Promise<void> {
  const body = JSON.stringify({ address: '127.0.0.1', leaving: false, ...host });
  await fetch(`${platform}/hosts`, { method: 'PUT', body });
}

async function startEntry(
  all: RunningProcess[],
  platform: string,
  common: readonly string[],
  id: string,
  dataCentre: string,
): Promise<DemoEntry> {
  const ports = ['--caller-port', '0', '--peer-port', '0', '--operator-port', '0'];
  const own = [
    '--host-id',
    id,
    '--data-centre',
    dataCentre,
    '--address',
    '127.0.0.1',
    '--drain-ms',
    '1500',
  ];
  const secret = ['--peer-secret', 'a-secret-for-the-demo-only'];
  const process = startProcess(id, 'programs/entry/main.js', [
    ...common,
    ...own,
    ...ports,
    ...secret,
  ]);
  all.push(process);
  const line = await process.waitForLine(({ msg }) => msg === 'listening');
  await setHost(platform, { id, role: 'entry', port: Number(line.peerPort), dataCentre });
  return {
    id,
    process,
    origin: `http://127.0.0.1:${String(line.callerPort)}`,
    operatorOrigin: `http://127.0.0.1:${String(line.operatorPort)}`,
  };
}

/** Starts stand-ins, entry hosts in two data centres and two placement processes, all as separate processes. */
export async function startDemoFleet(operatorKeys: string): Promise<DemoFleet> {
  const all: RunningProcess[] = [];
  const keyValueService = await startStandin(all, 'key-value-service', 'key-value-service');
  const platform = await startStandin(
    all,
    'platform',
    'platform',
    '--model-load-ms',
    '100',
    '--loads-per-second',
    '20',
  );
  const engines: string[] = [];
  for (const index of [1, 2, 3, 4]) {
    const id = `engine-${index}`;
    const checksFencing = index !== 4;
    const flags = [
      '--id',
      id,
      '--weight-store',
      platform,
      `--checks-fencing=${String(checksFencing)}`,
    ];
    const origin = await startStandin(all, id, 'engine', ...flags);
    engines.push(origin);
    const port = Number(new URL(origin).port);
    await setHost(platform, {
      id,
      role: 'engine',
      port,
      service: 'moisture',
      dataCentre: index < 3 ? 'lagos-1' : 'lagos-2',
      memoryBytes: ENGINE_BYTES,
      checksFencing,
    });
  }
  const plainServers: string[] = [];
  for (const id of ['plain-1', 'plain-2']) {
    const origin = await startStandin(all, id, 'plain-service', '--id', id);
    plainServers.push(origin);
    await setHost(platform, {
      id,
      role: 'plain',
      port: Number(new URL(origin).port),
      service: 'certificates',
      dataCentre: 'lagos-1',
    });
  }
  const common = [
    '--key-value-service',
    keyValueService,
    '--host-list',
    `${platform}/hosts`,
    '--operator-keys',
    operatorKeys,
  ];
  const entries: DemoEntry[] = [];
  for (const [index, dataCentre] of ['lagos-1', 'lagos-1', 'lagos-2', 'lagos-2'].entries())
    entries.push(await startEntry(all, platform, common, `entry-${index + 1}`, dataCentre));
  for (const id of ['placement-1', 'placement-2']) {
    const times = [
      '--order-age-ms',
      '500',
      '--round-ms',
      '100',
      '--report-poll-ms',
      '100',
      '--lease-seconds',
      '2',
    ];
    const own = [
      '--host-id',
      id,
      '--data-centre',
      'lagos-1',
      '--entry-status',
      entries[0]?.operatorOrigin ?? '',
    ];
    all.push(startProcess(id, 'programs/placement/main.js', [...common, ...own, ...times]));
  }
  return { keyValueService, engines, plainServers, entries, processes: all };
}
