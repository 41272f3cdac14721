import { ItemKind } from '../../../ports/engine.js';
import type { BundleModel } from '../../bundle/types.js';
import { ItemState } from '../../ledger/types.js';
import type { ReplicaTargets } from '../types.js';
import {
  computeDraftFreeBytes,
  findActiveItem,
  isCurrentReplica,
  isRoutableReplica,
  type LedgerDraft,
} from './createLedgerDraft.js';
import { evictReplica, isEvictable, listActiveModels } from './evictReplicas.js';

/** Computes the bytes of one replica of a model with all of its adapters. */
export function computeDraftReplicaBytes(draft: LedgerDraft, model: BundleModel): number {
  const adapters = draft.index.adapters.get(model.name) ?? [];
  return adapters.reduce((sum, { bytes }) => sum + bytes, model.bytes);
}

function addReplica(draft: LedgerDraft, engine: string, model: BundleModel): void {
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

/** Reserves the adapters that replicas of the current model version lack, where they fit. */
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
  let bestFreeBytes = bytes - 1;
  for (const engine of draft.listSchedulableEngines(model.service)) {
    const freeBytes = computeDraftFreeBytes(draft, engine);
    if (freeBytes <= bestFreeBytes || !isFreeOfModel(draft, engine, model.name)) continue;
    best = engine;
    bestFreeBytes = freeBytes;
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

function computeActiveBytes(draft: LedgerDraft, engine: string, model: string): number {
  const items = draft.getEngine(engine)?.items ?? [];
  return items.reduce(
    (sum, item) =>
      item.model === model && item.state !== ItemState.leaving ? sum + item.bytes : sum,
    0,
  );
}

/**
 * Chooses the models to evict from an engine to make room; undefined when that frees too little.
 */
function chooseModelsToEvict(
  draft: LedgerDraft,
  engine: string,
  model: BundleModel,
  bytes: number,
  targets: ReplicaTargets,
): string[] | undefined {
  const chosen: string[] = [];
  let availableBytes = computeDraftFreeBytes(draft, engine) + computeLeavingBytes(draft, engine);
  // An old replica of the same model must be evicted before the new one can use its engine.
  const active = listActiveModels(draft, engine);
  const ordered = active.filter((name) => name === model.name).concat(active);
  for (const other of new Set(ordered)) {
    const isSameModel = other === model.name;
    if (availableBytes >= bytes && !isSameModel) break;
    if (!isEvictable(draft, engine, other, targets)) {
      if (isSameModel) return undefined;
      continue;
    }
    chosen.push(other);
    availableBytes += computeActiveBytes(draft, engine, other);
  }
  return availableBytes >= bytes ? chosen : undefined;
}

/**
 * Evicts replicas that are not needed to make room for a new one. Does nothing when pending unloads
 * already free enough memory.
 */
function evictToMakeRoom(
  draft: LedgerDraft,
  model: BundleModel,
  bytes: number,
  targets: ReplicaTargets,
): void {
  const engines = draft
    .listSchedulableEngines(model.service)
    .filter((engine) => !isCurrentReplica(draft, engine, model));
  const willHaveRoom = (engine: string): boolean =>
    !listActiveModels(draft, engine).includes(model.name) &&
    computeDraftFreeBytes(draft, engine) + computeLeavingBytes(draft, engine) >= bytes;
  if (engines.some(willHaveRoom)) return;
  const isWithoutModel = (engine: string): boolean => isFreeOfModel(draft, engine, model.name);
  const ordered = [
    ...engines.filter(isWithoutModel),
    ...engines.filter((engine) => !isWithoutModel(engine)),
  ];
  for (const engine of ordered) {
    const modelsToEvict = chooseModelsToEvict(draft, engine, model, bytes, targets);
    if (modelsToEvict === undefined) continue;
    modelsToEvict.forEach((other) => evictReplica(draft, engine, other));
    return;
  }
}

function countPlannedReplicas(draft: LedgerDraft, model: BundleModel): number {
  return draft
    .listHolders(model.name)
    .filter((engine) => draft.isSchedulable(engine) && isCurrentReplica(draft, engine, model))
    .length;
}

/**
 * Reserves replicas until a model has the target number. When no engine has room, it makes room on
 * one engine and stops.
 */
export function addMissingReplicas(
  draft: LedgerDraft,
  model: BundleModel,
  targetCount: number,
  targets: ReplicaTargets,
): void {
  const bytes = computeDraftReplicaBytes(draft, model);
  for (let replicas = countPlannedReplicas(draft, model); replicas < targetCount; replicas += 1) {
    const engine = findEngineWithRoom(draft, model, bytes);
    if (engine === undefined) {
      evictToMakeRoom(draft, model, bytes, targets);
      return;
    }
    addReplica(draft, engine, model);
  }
}

/** Lists the models, those without a routable replica first. */
export function listUnavailableFirst(draft: LedgerDraft): BundleModel[] {
  const models = [...draft.index.models.values()];
  const isAvailable = (model: BundleModel): boolean =>
    draft.listHolders(model.name).some((engine) => isRoutableReplica(draft, engine, model));
  return [
    ...models.filter((model) => !isAvailable(model)),
    ...models.filter((model) => isAvailable(model)),
  ];
}
