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

/** One entry host of a test. */
export interface TestEntryHost {
  id: string;
  process: RunningProcess;
  origin: string;
  operatorOrigin: string;
  peerPort: number;
}

/** How a fleet of a test is set up. */
export interface FleetOptions {
  entries?: number;
  placements?: number;
  engines?: number;
  plainServers?: number;
  bundle?: Partial<Bundle>;
  organisations?: Partial<Organisation>[];
  entryFlags?: readonly string[];
  placementFlags?: readonly string[];
  engineOptions?: Partial<EngineStandinOptions>;
  platformOptions?: PlatformOptions;
}

type Engine = Awaited<ReturnType<typeof openEngineStandin>>;
type Plain = Awaited<ReturnType<typeof openPlainStandin>>;

/** A running fleet: real entry and placement processes before stand-ins in this process. */
export interface Fleet {
  operator: Operator;
  keyValueStandin: Awaited<ReturnType<typeof openKeyValueStandin>>;
  platformStandin: Awaited<ReturnType<typeof openPlatformStandin>>;
  keyValueService: ReturnType<typeof createEtcdKeyValueService>;
  engines: Map<string, Engine>;
  plainServers: Map<string, Plain>;
  entries: TestEntryHost[];
  placements: RunningProcess[];
  bundle: Bundle;
  /** Key of an organisation. */
  keys: Record<string, string>;
  /** Entry host by its position; throws when there is none. */
  getEntry: (index: number) => TestEntryHost;
  startEntry: (id: string, flags?: readonly string[]) => Promise<TestEntryHost>;
  startPlacement: (id: string) => RunningProcess;
  startEngine: (id: string, options?: Partial<EngineStandinOptions>) => Promise<Engine>;
  startPlainServer: (id: string) => Promise<Plain>;
  updateBundle: (change: Partial<Bundle>) => Promise<void>;
  signWithdrawal: (key: string) => Promise<string>;
  waitUntilReady: () => Promise<void>;
  waitUntilResident: (...names: string[]) => Promise<void>;
  stop: () => Promise<void>;
}

/** Puts flags in the place of those of the same name. */
function mergeFlags(args: readonly string[], flags: readonly string[]): string[] {
  const given = new Set(flags.filter((flag) => flag.startsWith('--')));
  const kept = args.filter((arg, index) => !given.has(arg) && !given.has(args[index - 1] ?? ''));
  return [...kept, ...flags];
}

/** Builds organisations with one key each. */
export function buildOrganisations(changes: readonly Partial<Organisation>[]): {
  organisations: Organisation[];
  keys: Record<string, string>;
} {
  const keys: Record<string, string> = {};
  const organisations = changes.map((change, index) => {
    const name = change.name ?? `organisation-${index + 1}`;
    keys[name] = `key-of-${name}`;
    return { name, rate: 1_000_000, burst: 1_000_000, keys: [hashKey(keys[name])], ...change };
  });
  return { organisations, keys };
}

/** Reads the status of an entry host. */
export async function readStatus(entry: TestEntryHost): Promise<{
  bundleVersion: number;
  unreachable: string[];
  hosts: { host: string; bundleVersion: number; slots: number }[];
  residency: Record<string, { engine: string; version: string; state: string }[]>;
  withdrawals: number;
}> {
  const reply = await fetch(`${entry.operatorOrigin}/status`);
  return (await reply.json()) as Awaited<ReturnType<typeof readStatus>>;
}

/** Starts a fleet and accepts its bundle. */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const {
    entries: entryCount = 2,
    placements: placementCount = 1,
    engines: engineCount = 3,
  } = options;
  const operator = await createOperator();
  const keyValue = await openKeyValueStandin();
  const platform = await openPlatformStandin({
    modelLoadMs: 20,
    loadsPerSecond: 50,
    ...options.platformOptions,
  });
  const service = createEtcdKeyValueService(keyValue.origin);
  const { organisations, keys } = buildOrganisations(
    options.organisations ?? [{ name: 'dryline' }, { name: 'lijado' }],
  );
  const engines = new Map<string, Engine>();
  const plainServers = new Map<string, Plain>();
  const entries: TestEntryHost[] = [];
  const placements: RunningProcess[] = [];
  const common = (id: string): string[] => [
    ...['--host-id', id, '--data-centre', 'one'],
    ...['--key-value-service', keyValue.origin, '--host-list', `${platform.origin}/hosts`],
    ...['--operator-keys', JSON.stringify(operator.keySet)],
  ];
  const list = (host: Omit<ListedHost, 'address' | 'dataCentre' | 'leaving'>): void =>
    platform.setHost({ address: '127.0.0.1', dataCentre: 'one', leaving: false, ...host });

  const fleet: Fleet = {
    operator,
    keyValueStandin: keyValue,
    platformStandin: platform,
    keyValueService: service,
    engines,
    plainServers,
    entries,
    placements,
    bundle: buildTestBundle({ organisations, ...options.bundle }),
    keys,
    getEntry: (index) => {
      const entry = entries[index];
      if (entry === undefined) throw new RangeError(`there is no entry host ${index}`);
      return entry;
    },
    startEntry: async (id, flags = options.entryFlags ?? []) => {
      const ports = ['--caller-port', '0', '--peer-port', '0', '--operator-port', '0'];
      const own = ['--address', '127.0.0.1', '--peer-secret', PEER_SECRET, '--drain-ms', '100'];
      const args = [...common(id), ...ports, ...own, '--host-list-poll-ms', '200'];
      const process = startProcess(id, 'programs/entry/main.js', mergeFlags(args, flags));
      const line = await process.waitForLine(({ msg }) => msg === 'listening');
      const peerPort = Number(line.peerPort);
      const entry = {
        id,
        process,
        peerPort,
        origin: `http://127.0.0.1:${String(line.callerPort)}`,
        operatorOrigin: `http://127.0.0.1:${String(line.operatorPort)}`,
      };
      entries.push(entry);
      list({ id, role: 'entry', port: peerPort });
      return entry;
    },
    startPlacement: (id) => {
      const [first] = entries;
      const flags = [
        '--entry-status',
        first?.operatorOrigin ?? 'http://127.0.0.1:9',
        '--lease-seconds',
        '2',
      ];
      const times = [
        '--round-ms',
        '50',
        '--report-poll-ms',
        '50',
        '--order-age-ms',
        '300',
        '--host-list-poll-ms',
        '200',
      ];
      const args = mergeFlags([...common(id), ...flags, ...times], options.placementFlags ?? []);
      const process = startProcess(id, 'programs/placement/main.js', args);
      placements.push(process);
      return process;
    },
    startEngine: async (id, own = {}) => {
      const settings = {
        memoryBytes: 100,
        reportLagMs: 50,
        weightStore: platform.origin,
        ...options.engineOptions,
        ...own,
      };
      const engine = await openEngineStandin({ id, ...settings });
      engines.set(id, engine);
      const { memoryBytes, checksFencing = true } = settings;
      list({
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
      list({ id, role: 'plain', port: server.port, service: 'certificates' });
      return server;
    },
    updateBundle: async (change) => {
      fleet.bundle = { ...fleet.bundle, ...change };
      const signed = await signBundle(fleet.bundle, operator.privateKey);
      const accepted = await acceptBundle(signed, {
        service,
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
        const replies = await Promise.all(
          entries.map(async ({ origin, operatorOrigin }) => {
            const ready = await fetch(`${origin}/readyz`).then(
              ({ ok }) => ok,
              () => false,
            );
            const status = await fetch(`${operatorOrigin}/status`).then(
              (reply) => reply.json(),
              () => ({}),
            );
            const { hosts = [] } = status as { hosts?: { slots: number }[] };
            return (
              ready && hosts.length === entries.length && hosts.every(({ slots }) => slots > 0)
            );
          }),
        );
        return replies.every(Boolean);
      }),
    waitUntilResident: (...names) =>
      waitUntil(`${names.join(', ')} are resident`, async () => {
        const replies = await Promise.all(
          entries.map((entry) => readStatus(entry).catch(() => undefined)),
        );
        return replies.every(
          (status) =>
            status !== undefined &&
            names.every((name) =>
              (status.residency[name] ?? []).some(({ state }) => state === 'resident'),
            ),
        );
      }),
    stop: async () => {
      const all = [...entries.map(({ process }) => process), ...placements];
      for (const { kill } of all) {
        kill('SIGCONT');
        kill('SIGKILL');
      }
      await Promise.all(all.map(({ exited }) => exited));
      await service.close();
      await Promise.all(
        [...engines.values(), ...plainServers.values()].map((server) => server.close()),
      );
      await Promise.all([keyValue.close(), platform.close()]);
    },
  };
  for (let index = 1; index <= engineCount; index += 1) await fleet.startEngine(`engine-${index}`);
  for (let index = 1; index <= (options.plainServers ?? 2); index += 1)
    await fleet.startPlainServer(`plain-${index}`);
  await fleet.updateBundle({});
  await Promise.all(
    Array.from({ length: entryCount }, (_unused, index) => fleet.startEntry(`entry-${index + 1}`)),
  );
  for (let index = 1; index <= placementCount; index += 1)
    fleet.startPlacement(`placement-${index}`);
  await fleet.waitUntilReady();
  return fleet;
}
