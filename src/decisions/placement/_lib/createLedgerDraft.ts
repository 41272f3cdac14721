import { isRight } from 'fp-ts/lib/Either.js';
import { ItemKind } from '../../../ports/engine.js';
import type { Bundle, BundleAdapter, BundleModel } from '../../bundle/types.js';
import { computeFreeBytes } from '../../ledger/computeCommittedBytes/index.js';
import { markLeaving } from '../../ledger/markLeaving/index.js';
import { reserveItem } from '../../ledger/reserveItem/index.js';
import { ItemState, type Ledger, type LedgerEngine, type LedgerItem } from '../../ledger/types.js';
import type { PlacementEngine } from '../types.js';

/** Models of a bundle by name, and their adapters by model name. */
export interface ModelIndex {
  models: ReadonlyMap<string, BundleModel>;
  adapters: ReadonlyMap<string, readonly BundleAdapter[]>;
}

/** Builds the index of a bundle's models and their adapters. */
export function buildModelIndex(bundle: Bundle): ModelIndex {
  const adapters = new Map<string, BundleAdapter[]>();
  for (const adapter of bundle.adapters) {
    const list = adapters.get(adapter.model);
    if (list === undefined) adapters.set(adapter.model, [adapter]);
    else list.push(adapter);
  }
  return { models: new Map(bundle.models.map((model) => [model.name, model])), adapters };
}

/** Working copy of the ledger that collects the changes of one plan for a single write. */
export interface LedgerDraft {
  index: ModelIndex;
  getEngine: (engine: string) => LedgerEngine | undefined;
  /** Engines that hold any item of a model. */
  listHolders: (model: string) => string[];
  /** Engines of a service that may receive new replicas. */
  listSchedulableEngines: (service: string) => string[];
  isSchedulable: (engine: string) => boolean;
  /** Returns false when the engine cannot take the item. */
  reserve: (engine: string, item: Omit<LedgerItem, 'state' | 'fencingNumber'>) => boolean;
  markLeaving: (engine: string, item: LedgerItem) => void;
  /** Returns the ledger with the changes; the given ledger object when there are none. */
  build: () => { ledger: Ledger; changes: string[] };
}

function collectHolders(ledger: Ledger): Map<string, Set<string>> {
  const holders = new Map<string, Set<string>>();
  for (const [engine, { items }] of Object.entries(ledger.engines))
    for (const { model } of items) {
      const set = holders.get(model);
      if (set === undefined) holders.set(model, new Set([engine]));
      else set.add(engine);
    }
  return holders;
}

function listSchedulableByService(
  ledger: Ledger,
  engines: readonly PlacementEngine[],
): Map<string, string[]> {
  const byService = new Map<string, string[]>();
  for (const { id, service, leaving } of engines) {
    if (leaving || ledger.engines[id] === undefined) continue;
    const list = byService.get(service);
    if (list === undefined) byService.set(service, [id]);
    else list.push(id);
  }
  return byService;
}

/** Creates a draft of a ledger; the ledger itself is not changed. */
export function createLedgerDraft(
  bundle: Bundle,
  ledger: Ledger,
  engines: readonly PlacementEngine[],
): LedgerDraft {
  const fencingNumber = ledger.fencingNumber + 1;
  const changed = new Map<string, LedgerEngine>();
  const changes: string[] = [];
  const holders = collectHolders(ledger);
  const schedulableByService = listSchedulableByService(ledger, engines);
  const schedulable = new Set([...schedulableByService.values()].flat());
  const getEngine = (engine: string): LedgerEngine | undefined =>
    changed.get(engine) ?? ledger.engines[engine];

  return {
    index: buildModelIndex(bundle),
    getEngine,
    listHolders: (model) => [...(holders.get(model) ?? [])],
    listSchedulableEngines: (service) => schedulableByService.get(service) ?? [],
    isSchedulable: (engine) => schedulable.has(engine),
    reserve: (engine, item) => {
      const entry = getEngine(engine);
      if (entry === undefined) return false;
      const next = reserveItem(entry, { ...item, fencingNumber });
      if (!isRight(next)) return false;
      changed.set(engine, next.right);
      changes.push(`reserve ${item.name}@${item.version} on ${engine}`);
      const set = holders.get(item.model) ?? new Set<string>();
      holders.set(item.model, set.add(engine));
      return true;
    },
    markLeaving: (engine, item) => {
      const entry = getEngine(engine);
      if (entry === undefined) return;
      changed.set(engine, markLeaving(entry, item, fencingNumber));
      changes.push(`leave ${item.name}@${item.version} on ${engine}`);
    },
    build: () => {
      if (changed.size === 0) return { ledger, changes };
      const next = { ...ledger.engines, ...Object.fromEntries(changed) };
      return { ledger: { ...ledger, fencingNumber, engines: next }, changes };
    },
  };
}

/** Finds an item that is reserved or resident on an engine. */
export function findActiveItem(
  entry: LedgerEngine,
  kind: ItemKind,
  name: string,
  version?: string,
): LedgerItem | undefined {
  return entry.items.find(
    (item) =>
      item.kind === kind &&
      item.name === name &&
      item.state !== ItemState.leaving &&
      (version === undefined || item.version === version),
  );
}

/** Tells whether an engine holds or has reserved a complete replica at the bundle's versions. */
export function isCurrentReplica(draft: LedgerDraft, engine: string, model: BundleModel): boolean {
  const entry = draft.getEngine(engine);
  if (entry === undefined) return false;
  if (findActiveItem(entry, ItemKind.model, model.name, model.version) === undefined) return false;
  return (draft.index.adapters.get(model.name) ?? []).every(
    ({ name, version }) => findActiveItem(entry, ItemKind.adapter, name, version) !== undefined,
  );
}

function isResident(entry: LedgerEngine, kind: ItemKind, name: string, version?: string): boolean {
  return entry.items.some(
    (item) =>
      item.kind === kind &&
      item.name === name &&
      item.state === ItemState.resident &&
      (version === undefined || item.version === version),
  );
}

/** Options of isRoutableReplica. */
export interface IsRoutableReplicaOptions {
  /** Only the bundle's versions count; any version by default. */
  onlyCurrentVersion?: boolean;
}

/** Tells whether an engine can serve a model and all of its adapters now. */
export function isRoutableReplica(
  draft: LedgerDraft,
  engine: string,
  model: BundleModel,
  options: IsRoutableReplicaOptions = {},
): boolean {
  const { onlyCurrentVersion = false } = options;
  const entry = draft.getEngine(engine);
  if (entry === undefined || !draft.isSchedulable(engine)) return false;
  const getRequiredVersion = (version: string): string | undefined =>
    onlyCurrentVersion ? version : undefined;
  if (!isResident(entry, ItemKind.model, model.name, getRequiredVersion(model.version)))
    return false;
  return (draft.index.adapters.get(model.name) ?? []).every(({ name, version }) =>
    isResident(entry, ItemKind.adapter, name, getRequiredVersion(version)),
  );
}

/** Computes the free bytes of an engine in the draft. */
export function computeDraftFreeBytes(draft: LedgerDraft, engine: string): number {
  const entry = draft.getEngine(engine);
  return entry === undefined ? 0 : computeFreeBytes(entry);
}
