import { createEtcdKeyValueService } from '#dist/adapters/keyValueService/index.js';
import { acceptBundle } from '#dist/coordination/acceptBundle/index.js';
import { systemClock } from '#dist/adapters/clock/index.js';
import { hashKey } from '#dist/decisions/keys/hashKey/index.js';
import { signBundle } from '#dist/decisions/bundle/signBundle/index.js';
import { signWithdrawal } from '#dist/decisions/keys/signWithdrawal/index.js';
import type { Bundle, Organisation } from '#dist/decisions/bundle/types.js';
import type { ListedHost } from '#dist/ports/hostList.js';
import { openEngineStandin, type EngineStandinOptions } from '#dist/standin/engine/index.js';
import { openKeyValueStandin } from '#dist/standin/keyValueService/index.js';
import { openPlainStandin } from '#dist/standin/plainService/index.js';
import { openPlatformStandin, type PlatformOptions } from '#dist/standin/platform/index.js';
import { buildTestBundle, createOperator, type Operator } from './operators.js';
import { startProcess, type RunningProcess } from './processes.js';
import { waitUntil } from './waitUntil.js';

const PEER_SECRET = 'a-secret-for-tests-only';

/** An entry host that a test started, with its addresses. */
export interface TestEntryHost {
  id: string;
  process: RunningProcess;
  origin: string;
  operatorOrigin: string;
  peerPort: number;
}

/** Options of a fleet; `entries` to `plainServers` are counts, `entryScript` is relative to `dist`. */
export interface FleetOptions {
  entries?: number;
  placements?: number;
  engines?: number;
  plainServers?: number;
  bundle?: Partial<Bundle>;
  organisations?: Partial<Organisation>[];
  entryFlags?: readonly string[];
  entryScript?: string;
  placementFlags?: readonly string[];
  engineOptions?: Partial<EngineStandinOptions>;
  platformOptions?: PlatformOptions;
}

type EngineServer = Awaited<ReturnType<typeof openEngineStandin>>;
type PlainServer = Awaited<ReturnType<typeof openPlainStandin>>;

/** A running fleet: entry and placement processes, with the servers they use as stand-ins. */
export interface Fleet {
  operator: Operator;
  keyValueStandin: Awaited<ReturnType<typeof openKeyValueStandin>>;
  platformStandin: Awaited<ReturnType<typeof openPlatformStandin>>;
  /** Client of the key-value service. */
  service: ReturnType<typeof createEtcdKeyValueService>;
  engines: Map<string, EngineServer>;
  plainServers: Map<string, PlainServer>;
  entries: TestEntryHost[];
  placements: RunningProcess[];
  bundle: Bundle;
  /** API key by the name of its organisation. */
  keys: Record<string, string>;
  /** Returns an entry host by its index in `entries`; throws when there is none. */
  getEntry: (index: number) => TestEntryHost;
  startEntry: (id: string, flags?: readonly string[]) => Promise<TestEntryHost>;
  startPlacement: (id: string) => RunningProcess;
  startEngine: (id: string, options?: Partial<EngineStandinOptions>) => Promise<EngineServer>;
  startPlainServer: (id: string) => Promise<PlainServer>;
  accept: (changes: Partial<Bundle>) => Promise<void>;
  signWithdrawal: (key: string) => Promise<string>;
  waitUntilReady: () => Promise<void>;
  waitUntilResident: (...names: string[]) => Promise<void>;
  stop: () => Promise<void>;
}

/** Appends flags and removes earlier flags of the same names. */
function mergeFlags(args: readonly string[], flags: readonly string[]): string[] {
  const names = new Set(flags.filter((flag) => flag.startsWith('--')));
  const kept = args.filter((arg, index) => !names.has(arg) && !names.has(args[index - 1] ?? ''));
  return [...kept, ...flags];
}

/** Builds organisations with one API key each. */
export function buildOrganisations(changes: readonly Partial<Organisation>[]): {
  organisations: Organisation[];
  keys: Record<string, string>;
} {
  const keys: Record<string, string> = {};
  const organisations = changes.map((overrides, index) => {
    const name = overrides.name ?? `organisation-${index + 1}`;
    keys[name] = `key-of-${name}`;
    return { name, rate: 1_000_000, burst: 1_000_000, keys: [hashKey(keys[name])], ...overrides };
  });
  return { organisations, keys };
}

/** Reads the status that an entry host reports to operators. */
export async function readStatus(entry: TestEntryHost): Promise<{
  bundleVersion: number;
  unreachable: string[];
  hosts: { host: string; bundleVersion: number; slots: number }[];
  residency: Record<string, { engine: string; version: string; state: string }[]>;
  withdrawals: number;
}> {
  const response = await fetch(`${entry.operatorOrigin}/status`);
  return (await response.json()) as Awaited<ReturnType<typeof readStatus>>;
}

/** Starts a fleet, accepts its bundle and waits until all entry hosts are ready. */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const {
    entries: entryCount = 2,
    placements: placementCount = 1,
    engines: engineCount = 3,
  } = options;
  const operator = await createOperator();
  const keyValueStandin = await openKeyValueStandin();
  const platform = await openPlatformStandin({
    modelLoadMs: 20,
    loadsPerSecond: 50,
    ...options.platformOptions,
  });
  const keyValueService = createEtcdKeyValueService(keyValueStandin.origin);
  const { organisations, keys } = buildOrganisations(
    options.organisations ?? [{ name: 'dryline' }, { name: 'lijado' }],
  );
  const engines = new Map<string, EngineServer>();
  const plainServers = new Map<string, PlainServer>();
  const entries: TestEntryHost[] = [];
  const placements: RunningProcess[] = [];
  const buildCommonArgs = (id: string): string[] => [
    ...['--host-id', id, '--data-centre', 'one'],
    ...['--key-value-service', keyValueStandin.origin, '--host-list', `${platform.origin}/hosts`],
    ...['--operator-keys', JSON.stringify(operator.keySet)],
  ];
  const addToHostList = (host: Omit<ListedHost, 'address' | 'dataCentre' | 'leaving'>): void =>
    platform.setHost({ address: '127.0.0.1', dataCentre: 'one', leaving: false, ...host });

  const fleet: Fleet = {
    operator,
    keyValueStandin,
    platformStandin: platform,
    service: keyValueService,
    engines,
    plainServers,
    entries,
    placements,
    bundle: buildTestBundle({ organisations, ...options.bundle }),
    keys,
    getEntry: (index) => {
      const entry = entries[index];
      if (entry === undefined) throw new RangeError(`no entry host with index ${index}`);
      return entry;
    },
    startEntry: async (id, flags = options.entryFlags ?? []) => {
      const portArgs = ['--caller-port', '0', '--peer-port', '0', '--operator-port', '0'];
      const ownArgs = ['--address', '127.0.0.1', '--peer-secret', PEER_SECRET, '--drain-ms', '100'];
      const args = [...buildCommonArgs(id), ...portArgs, ...ownArgs, '--host-list-poll-ms', '200'];
      const script = options.entryScript ?? 'programs/entry/main.js';
      const process = startProcess(id, script, mergeFlags(args, flags));
      const listeningLine = await process.waitForLine(({ msg }) => msg === 'listening');
      const peerPort = Number(listeningLine.peerPort);
      const entry = {
        id,
        process,
        peerPort,
        origin: `http://127.0.0.1:${String(listeningLine.callerPort)}`,
        operatorOrigin: `http://127.0.0.1:${String(listeningLine.operatorPort)}`,
      };
      entries.push(entry);
      addToHostList({ id, role: 'entry', port: peerPort });
      return entry;
    },
    startPlacement: (id) => {
      const [first] = entries;
      const entryStatusArgs = [
        '--entry-status',
        first?.operatorOrigin ?? 'http://127.0.0.1:9',
        '--lease-seconds',
        '2',
      ];
      const intervalArgs = [
        '--round-ms',
        '50',
        '--report-poll-ms',
        '50',
        '--order-age-ms',
        '300',
        '--host-list-poll-ms',
        '200',
      ];
      const args = mergeFlags(
        [...buildCommonArgs(id), ...entryStatusArgs, ...intervalArgs],
        options.placementFlags ?? [],
      );
      const process = startProcess(id, 'programs/placement/main.js', args);
      placements.push(process);
      return process;
    },
    startEngine: async (id, overrides = {}) => {
      const settings = {
        memoryBytes: 100,
        reportLagMs: 50,
        weightStore: platform.origin,
        ...options.engineOptions,
        ...overrides,
      };
      const engine = await openEngineStandin({ id, ...settings });
      engines.set(id, engine);
      const { memoryBytes, checksFencing = true } = settings;
      addToHostList({
        id,
        role: 'engine',
        port: engine.port,
        service: 'moisture',
        memoryBytes,
        checksFencing,
      });
      return engine;
    },
    startPlainServer: async (id) => {
      const server = await openPlainStandin(id);
      plainServers.set(id, server);
      addToHostList({ id, role: 'plain', port: server.port, service: 'certificates' });
      return server;
    },
    accept: async (changes) => {
      fleet.bundle = { ...fleet.bundle, ...changes };
      const signed = await signBundle(fleet.bundle, operator.privateKey);
      const accepted = await acceptBundle(signed, {
        service: keyValueService,
        operatorKeys: operator.keySet,
        clock: systemClock,
      });
      if (accepted._tag === 'Left') throw new Error(accepted.left);
    },
    signWithdrawal: (key) => {
      const statement = {
        digests: [hashKey(key)],
        bundleVersion: fleet.bundle.version,
        signedAt: 1,
      };
      return signWithdrawal(statement, operator.privateKey);
    },
    waitUntilReady: () =>
      waitUntil('every entry host is ready', async () => {
        const hostsReady = await Promise.all(
          entries.map(async ({ origin, operatorOrigin }) => {
            const ready = await fetch(`${origin}/readyz`).then(
              ({ ok }) => ok,
              () => false,
            );
            const status = await fetch(`${operatorOrigin}/status`).then(
              (response) => response.json(),
              () => ({}),
            );
            const { hosts = [] } = status as { hosts?: { slots: number }[] };
            return (
              ready && hosts.length === entries.length && hosts.every(({ slots }) => slots > 0)
            );
          }),
        );
        return hostsReady.every(Boolean);
      }),
    waitUntilResident: (...names) =>
      waitUntil(`${names.join(', ')} are resident`, async () => {
        const statuses = await Promise.all(
          entries.map((entry) => readStatus(entry).catch(() => undefined)),
        );
        return statuses.every(
          (status) =>
            status !== undefined &&
            names.every((name) =>
              (status.residency[name] ?? []).some(({ state }) => state === 'resident'),
            ),
        );
      }),
    stop: async () => {
      const processes = [...entries.map(({ process }) => process), ...placements];
      for (const { kill } of processes) {
        kill('SIGCONT');
        kill('SIGKILL');
      }
      await Promise.all(processes.map(({ exited }) => exited));
      await keyValueService.close();
      await Promise.all(
        [...engines.values(), ...plainServers.values()].map((server) => server.close()),
      );
      await Promise.all([keyValueStandin.close(), platform.close()]);
    },
  };
  for (let index = 1; index <= engineCount; index += 1) await fleet.startEngine(`engine-${index}`);
  for (let index = 1; index <= (options.plainServers ?? 2); index += 1)
    await fleet.startPlainServer(`plain-${index}`);
  await fleet.accept({});
  await Promise.all(
    Array.from({ length: entryCount }, (_unused, index) => fleet.startEntry(`entry-${index + 1}`)),
  );
  for (let index = 1; index <= placementCount; index += 1)
    fleet.startPlacement(`placement-${index}`);
  await fleet.waitUntilReady();
  return fleet;
}
