import { ItemKind } from '../../../ports/engine.js';
import type { BundleModel } from '../../bundle/types.js';
import { ItemState } from '../../ledger/types.js';
import type { ReplicaTargets } from '../types.js';
import {
  computeDraftFreeBytes,
  findActiveItem,
  isPlannedReplica,
  isRoutableReplica,
  type LedgerDraft,
} from './createLedgerDraft.js';
import { evictReplica, isEvictable, listActiveModels } from './evictReplicas.js';

/** Computes the bytes of one copy of a model with all of its adapters. */
export function computeDraftReplicaBytes(draft: LedgerDraft, model: BundleModel): number {
  const adapters = draft.index.adapters.get(model.name) ?? [];
  return adapters.reduce((sum, { bytes }) => sum + bytes, model.bytes);
}

function addCopy(draft: LedgerDraft, engine: string, model: BundleModel): void {
  const { name, version, bytes } = model;
  draft.reserve(engine, { kind: ItemKind.model, name, version, model: name, bytes });
  addAdapters(draft, engine, model);
}

function addAdapters(draft: LedgerDraft, engine: string, model: BundleModel): void {
  const entry = draft.getEngine(engine);
  if (entry === undefined) return;
  for (const { name, version, bytes } of draft.index.adapters.get(model.name) ?? [])
    if (findActiveItem(entry, ItemKind.adapter, name, version) === undefined)
      draft.reserve(engine, { kind: ItemKind.adapter, name, version, model: model.name, bytes });
}

/** Reserves the adapters that copies of the current model version lack, where they fit. */
export function completeReplicas(draft: LedgerDraft, model: BundleModel): void {
  for (const engine of draft.listHolders(model.name)) {
    const entry = draft.getEngine(engine);
    if (entry === undefined || !draft.isSchedulable(engine)) continue;
    if (findActiveItem(entry, ItemKind.model, model.name, model.version) !== undefined)
      addAdapters(draft, engine, model);
  }
}

function isFreeOfModel(draft: LedgerDraft, engine: string, model: string): boolean {
  return !(draft.getEngine(engine)?.items ?? []).some((item) => item.model === model);
}

function findEngineWithRoom(
  draft: LedgerDraft,
  model: BundleModel,
  bytes: number,
): string | undefined {
  let best: string | undefined;
  let bestFree = bytes - 1;
  for (const engine of draft.listSchedulableEngines(model.service)) {
    const free = computeDraftFreeBytes(draft, engine);
    if (free <= bestFree || !isFreeOfModel(draft, engine, model.name)) continue;
    best = engine;
    bestFree = free;
  }
  return best;
}

function computeLeavingBytes(draft: LedgerDraft, engine: string): number {
  const items = draft.getEngine(engine)?.items ?? [];
  return items.reduce(
    (sum, { state, bytes }) => (state === ItemState.leaving ? sum + bytes : sum),
    0,
  );
}

function computeStandingBytes(draft: LedgerDraft, engine: string, model: string): number {
  const items = draft.getEngine(engine)?.items ?? [];
  return items.reduce(
    (sum, item) =>
      item.model === model && item.state !== ItemState.leaving ? sum + item.bytes : sum,
    0,
  );
}

/** Chooses the models whose copies must leave an engine to make room; none when that is not enough. */
function chooseLeaving(
  draft: LedgerDraft,
  engine: string,
  model: BundleModel,
  bytes: number,
  targets: ReplicaTargets,
): string[] | undefined {
  const chosen: string[] = [];
  let room = computeDraftFreeBytes(draft, engine) + computeLeavingBytes(draft, engine);
  // An old copy of the model itself has to leave before the new one may come to its engine.
  const standing = listActiveModels(draft, engine);
  const ordered = standing.filter((name) => name === model.name).concat(standing);
  for (const other of new Set(ordered)) {
    const isInTheWay = other === model.name;
    if (room >= bytes && !isInTheWay) break;
    if (!isEvictable(draft, engine, other, targets)) {
      if (isInTheWay) return undefined;
      continue;
    }
    chosen.push(other);
    room += computeStandingBytes(draft, engine, other);
  }
  return room >= bytes ? chosen : undefined;
}

/** Makes room for a copy by letting copies leave that are not needed; none when room is already coming. */
function releaseRoom(
  draft: LedgerDraft,
  model: BundleModel,
  bytes: number,
  targets: ReplicaTargets,
): void {
  const engines = draft
    .listSchedulableEngines(model.service)
    .filter((engine) => !isPlannedReplica(draft, engine, model));
  const isComing = (engine: string): boolean =>
    !listActiveModels(draft, engine).includes(model.name) &&
    computeDraftFreeBytes(draft, engine) + computeLeavingBytes(draft, engine) >= bytes;
  if (engines.some(isComing)) return;
  const isFree = (engine: string): boolean => isFreeOfModel(draft, engine, model.name);
  const ordered = [...engines.filter(isFree), ...engines.filter((engine) => !isFree(engine))];
  for (const engine of ordered) {
    const leaving = chooseLeaving(draft, engine, model, bytes, targets);
    if (leaving === undefined) continue;
    leaving.forEach((other) => evictReplica(draft, engine, other));
    return;
  }
}

function countPlannedCopies(draft: LedgerDraft, model: BundleModel): number {
  return draft
    .listHolders(model.name)
    .filter((engine) => draft.isSchedulable(engine) && isPlannedReplica(draft, engine, model))
    .length;
}

/** Reserves copies until a model has as many as wanted or no engine has room. */
export function addMissingReplicas(
  draft: LedgerDraft,
  model: BundleModel,
  wanted: number,
  targets: ReplicaTargets,
): void {
  const bytes = computeDraftReplicaBytes(draft, model);
  for (let copies = countPlannedCopies(draft, model); copies < wanted; copies += 1) {
    const engine = findEngineWithRoom(draft, model, bytes);
    if (engine === undefined) {
      releaseRoom(draft, model, bytes, targets);
      return;
    }
    addCopy(draft, engine, model);
  }
}

/** Sorts models that nobody can reach now before the others. */
export function listUnavailableFirst(draft: LedgerDraft): BundleModel[] {
  const models = [...draft.index.models.values()];
  const isReachable = (model: BundleModel): boolean =>
    draft.listHolders(model.name).some((engine) => isRoutableReplica(draft, engine, model));
  return [
    ...models.filter((model) => !isReachable(model)),
    ...models.filter((model) => isReachable(model)),
  ];
}
