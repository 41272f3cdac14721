import { readFile } from 'node:fs/promises';
import { isLeft } from 'fp-ts/lib/Either.js';
import { checkBundle } from '#dist/decisions/bundle/checkBundle/index.js';
import type { Bundle } from '#dist/decisions/bundle/types.js';
import { ItemState, type Ledger, type LedgerEngine } from '#dist/decisions/ledger/types.js';
import { computeReplicaTargets } from '#dist/decisions/placement/computeReplicaTargets/index.js';
import { planPlacement } from '#dist/decisions/placement/planPlacement/index.js';
import { listCandidates } from '#dist/decisions/routing/listCandidates/index.js';
import type { ListedHost } from '#dist/ports/hostList.js';

/** Figures of the plans for one deployment size. */
export interface PlacementRow {
  size: string;
  firstPlanMs: number;
  /** Time of a plan when nothing has changed. */
  quietPlanMs: number;
  changedPlanMs: number;
  /** Items that moved when one model got a new version; only that model and its adapters need to. */
  movedItems: number;
  neededItems: number;
  /** Models and adapters of a sample that have no candidate engine after the change. */
  unreachable: number;
  heapMegabytes: number;
  ledgerKilobytes: number;
}

const MEGABYTE = 1_000_000;

async function readExample(name: string): Promise<Bundle> {
  const checked = checkBundle(await readFile(`examples/${name}.yaml`, 'utf8'));
  if (isLeft(checked)) throw new Error(`examples/${name}.yaml has findings`);
  return checked.right;
}

function buildLargeBundle(): Bundle {
  const services = Array.from({ length: 54 }, (_unused, index) => ({
    name: `s${index}`,
    engines: 100,
    memoryBytes: 640,
    window: 64,
  }));
  const models = Array.from({ length: 1600 }, (_unused, index) => ({
    name: `m${index}`,
    version: 'v1',
    service: `s${index % services.length}`,
    bytes: 60 + (index % 5) * 10,
    replicas: 12,
    class: 'standard' as const,
  }));
  return {
    version: 1,
    services,
    models,
    adapters: [],
    plainServices: [],
    routes: [],
    organisations: [],
    limits: { loadsPerSecond: 100, loadsAtOnce: 100, adaptersInFlight: 100 },
  };
}

function buildEngines({ services }: Bundle) {
  return services.flatMap(({ name, engines, memoryBytes }) =>
    Array.from({ length: engines }, (_unused, index) => ({
      id: `${name}-e${index}`,
      service: name,
      leaving: false,
      memoryBytes,
    })),
  );
}

/** Makes reserved items resident and removes leaving items, as engines do when they carry out orders. */
function finishOrders(ledger: Ledger): Ledger {
  const engines = Object.entries(ledger.engines).map(([id, entry]): [string, LedgerEngine] => [
    id,
    {
      ...entry,
      items: entry.items
        .filter(({ state }) => state !== ItemState.leaving)
        .map((item) => ({ ...item, state: ItemState.resident })),
    },
  ]);
  return { ...ledger, engines: Object.fromEntries(engines) };
}

function measurePlan(size: string, bundle: Bundle): PlacementRow {
  const engines = buildEngines(bundle);
  const empty: Ledger = {
    fencingNumber: 0,
    audit: [],
    engines: Object.fromEntries(
      engines.map(({ id, service, memoryBytes }) => [
        id,
        { service, incarnation: '1', memoryBytes, items: [] },
      ]),
    ),
  };
  const targets = computeReplicaTargets(bundle, {}, engines);
  const time = <T>(run: () => T): { result: T; ms: number } => {
    const startedAt = performance.now();
    const result = run();
    return { result, ms: performance.now() - startedAt };
  };
  const first = time(() => planPlacement(bundle, empty, engines, targets));
  const placed = finishOrders(first.result.ledger);
  const quiet = time(() => planPlacement(bundle, placed, engines, targets));
  const [changedModel] = bundle.models;
  const next = {
    ...bundle,
    version: 2,
    models: bundle.models.map((model) =>
      model === changedModel ? { ...model, version: 'v2' } : model,
    ),
  };
  const changed = time(() => planPlacement(next, placed, engines, targets));
  let ledger = finishOrders(changed.result.ledger);
  const moved = new Set(changed.result.changes);
  for (let round = 0; round < 30; round += 1) {
    const plan = planPlacement(next, ledger, engines, targets);
    plan.changes.forEach((change) => moved.add(change));
    ledger = finishOrders(plan.ledger);
  }
  const hosts = new Map(
    engines.map(({ id, service }): [string, ListedHost] => [
      id,
      {
        id,
        role: 'engine',
        address: '127.0.0.1',
        port: 1,
        dataCentre: 'one',
        service,
        leaving: false,
      },
    ]),
  );
  const names = [...next.models, ...next.adapters].map(({ name }) => name);
  const sample = names.filter((_name, index) => index % Math.ceil(names.length / 100) === 0);
  const adapters = bundle.adapters.filter(({ model }) => model === changedModel?.name).length;
  return {
    size,
    firstPlanMs: first.ms,
    quietPlanMs: quiet.ms,
    changedPlanMs: changed.ms,
    movedItems: moved.size,
    neededItems: 2 * (changedModel?.replicas ?? 0) * (1 + adapters),
    unreachable: sample.filter((name) => listCandidates(next, ledger, hosts, name).length === 0)
      .length,
    heapMegabytes: process.memoryUsage().heapUsed / MEGABYTE,
    ledgerKilobytes: JSON.stringify(ledger).length / 1000,
  };
}

/** Measures plans for the sizes of the two deployments and for the planned larger size. */
export async function measurePlacement(): Promise<PlacementRow[]> {
  return [
    measurePlan('Dryline, 21 models on 17 engines', await readExample('dryline')),
    measurePlan('Lijado, 31 models on 17 engines', await readExample('lijado')),
    measurePlan('1,600 models on 5,400 engines', buildLargeBundle()),
  ];
}
