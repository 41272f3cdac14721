import { startProcess, type RunningProcess } from '../tests/support/processes.js';

/** An entry host of the demo. */
export interface DemoEntry {
  id: string;
  process: RunningProcess;
  origin: string;
  operatorOrigin: string;
}

/** The processes of the demo and their addresses. */
export interface DemoFleet {
  keyValueService: string;
  engines: string[];
  plainServers: string[];
  entries: DemoEntry[];
  /** All processes, stand-ins included. */
  processes: RunningProcess[];
}

const STANDIN_PROGRAM = 'standin/main.js';
const ENGINE_MEMORY_BYTES = 80_000_000_000;

async function startStandin(
  processes: RunningProcess[],
  name: string,
  ...args: string[]
): Promise<string> {
  const process = startProcess(name, STANDIN_PROGRAM, args);
  processes.push(process);
  const { port } = await process.waitForLine(({ msg }) => msg === 'listening');
  return `http://127.0.0.1:${String(port)}`;
}

async function setHost(platform: string, host: Record<string, unknown>): Promise<void> {
  const body = JSON.stringify({ address: '127.0.0.1', leaving: false, ...host });
  await fetch(`${platform}/hosts`, { method: 'PUT', body });
}

async function startEntry(
  processes: RunningProcess[],
  platform: string,
  commonFlags: readonly string[],
  id: string,
  dataCentre: string,
): Promise<DemoEntry> {
  const portFlags = ['--caller-port', '0', '--peer-port', '0', '--operator-port', '0'];
  const ownFlags = [
    '--host-id',
    id,
    '--data-centre',
    dataCentre,
    '--address',
    '127.0.0.1',
    '--drain-ms',
    '1500',
  ];
  const secretFlags = ['--peer-secret', 'a-secret-for-the-demo-only'];
  const process = startProcess(id, 'programs/entry/main.js', [
    ...commonFlags,
    ...ownFlags,
    ...portFlags,
    ...secretFlags,
  ]);
  processes.push(process);
  const line = await process.waitForLine(({ msg }) => msg === 'listening');
  await setHost(platform, { id, role: 'entry', port: Number(line.peerPort), dataCentre });
  return {
    id,
    process,
    origin: `http://127.0.0.1:${String(line.callerPort)}`,
    operatorOrigin: `http://127.0.0.1:${String(line.operatorPort)}`,
  };
}

/** Starts stand-ins, four entry hosts in two data centres and two placement processes, each as a process of its own. */
export async function startDemoFleet(operatorKeys: string): Promise<DemoFleet> {
  const processes: RunningProcess[] = [];
  const keyValueService = await startStandin(processes, 'key-value-service', 'key-value-service');
  const platform = await startStandin(
    processes,
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
    const origin = await startStandin(processes, id, 'engine', ...flags);
    engines.push(origin);
    const port = Number(new URL(origin).port);
    await setHost(platform, {
      id,
      role: 'engine',
      port,
      service: 'moisture',
      dataCentre: index < 3 ? 'lagos-1' : 'lagos-2',
      memoryBytes: ENGINE_MEMORY_BYTES,
      checksFencing,
    });
  }
  const plainServers: string[] = [];
  for (const id of ['plain-1', 'plain-2']) {
    const origin = await startStandin(processes, id, 'plain-service', '--id', id);
    plainServers.push(origin);
    await setHost(platform, {
      id,
      role: 'plain',
      port: Number(new URL(origin).port),
      service: 'certificates',
      dataCentre: 'lagos-1',
    });
  }
  const commonFlags = [
    '--key-value-service',
    keyValueService,
    '--host-list',
    `${platform}/hosts`,
    '--operator-keys',
    operatorKeys,
  ];
  const entries: DemoEntry[] = [];
  for (const [index, dataCentre] of ['lagos-1', 'lagos-1', 'lagos-2', 'lagos-2'].entries())
    entries.push(
      await startEntry(processes, platform, commonFlags, `entry-${index + 1}`, dataCentre),
    );
  for (const id of ['placement-1', 'placement-2']) {
    const timeFlags = [
      '--order-age-ms',
      '500',
      '--round-ms',
      '100',
      '--report-poll-ms',
      '100',
      '--lease-seconds',
      '2',
    ];
    const ownFlags = [
      '--host-id',
      id,
      '--data-centre',
      'lagos-1',
      '--entry-status',
      entries[0]?.operatorOrigin ?? '',
    ];
    processes.push(
      startProcess(id, 'programs/placement/main.js', [...commonFlags, ...ownFlags, ...timeFlags]),
    );
  }
  return { keyValueService, engines, plainServers, entries, processes };
}
