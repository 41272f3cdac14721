import { ItemKind } from '../../../ports/engine.js';
import type { BundleModel } from '../../bundle/types.js';
import { ItemState } from '../../ledger/types.js';
import type { Targets } from '../types.js';
import {
  computeDraftFreeBytes,
  findStanding,
  isPlannedCopy,
  isRoutableCopy,
  type Draft,
} from './createDraft.js';
import { dropCopy, isDroppable, listStandingModels } from './leaveCopies.js';

/** Computes the bytes of one copy of a model with all of its adapters. */
export function computeBytes(draft: Draft, model: BundleModel): number {
  const adapters = draft.index.adapters.get(model.name) ?? [];
  return adapters.reduce((sum, { bytes }) => sum + bytes, model.bytes);
}

function addCopy(draft: Draft, engine: string, model: BundleModel): void {
  const { name, version, bytes } = model;
  draft.reserve(engine, { kind: ItemKind.model, name, version, model: name, bytes });
  addAdapters(draft, engine, model);
}

function addAdapters(draft: Draft, engine: string, model: BundleModel): void {
  const entry = draft.get(engine);
  if (entry === undefined) return;
  for (const { name, version, bytes } of draft.index.adapters.get(model.name) ?? [])
    if (findStanding(entry, ItemKind.adapter, name, version) === undefined)
      draft.reserve(engine, { kind: ItemKind.adapter, name, version, model: model.name, bytes });
}

/** Reserves the adapters that copies of the current model version lack, where they fit. */
export function completeCopies(draft: Draft, model: BundleModel): void {
  for (const engine of draft.listHolders(model.name)) {
    const entry = draft.get(engine);
    if (entry === undefined || !draft.isOpen(engine)) continue;
    if (findStanding(entry, ItemKind.model, model.name, model.version) !== undefined)
      addAdapters(draft, engine, model);
  }
}

function isFreeOfModel(draft: Draft, engine: string, model: string): boolean {
  return !(draft.get(engine)?.items ?? []).some((item) => item.model === model);
}

function findEngineWithRoom(draft: Draft, model: BundleModel, bytes: number): string | undefined {
  let best: string | undefined;
  let bestFree = bytes - 1;
  for (const engine of draft.listOpenEngines(model.service)) {
    const free = computeDraftFreeBytes(draft, engine);
    if (free <= bestFree || !isFreeOfModel(draft, engine, model.name)) continue;
    best = engine;
    bestFree = free;
  }
  return best;
}

function computeLeavingBytes(draft: Draft, engine: string): number {
  const items = draft.get(engine)?.items ?? [];
  return items.reduce(
    (sum, { state, bytes }) => (state === ItemState.leaving ? sum + bytes : sum),
    0,
  );
}

function computeStandingBytes(draft: Draft, engine: string, model: string): number {
  const items = draft.get(engine)?.items ?? [];
  return items.reduce(
    (sum, item) =>
      item.model === model && item.state !== ItemState.leaving ? sum + item.bytes : sum,
    0,
  );
}

/** Chooses the models whose copies must leave an engine to make room; none when that is not enough. */
function chooseLeaving(
  draft: Draft,
  engine: string,
  model: BundleModel,
  bytes: number,
  targets: Targets,
): string[] | undefined {
  const chosen: string[] = [];
  let room = computeDraftFreeBytes(draft, engine) + computeLeavingBytes(draft, engine);
  // An old copy of the model itself has to leave before the new one may come to its engine.
  const standing = listStandingModels(draft, engine);
  const ordered = standing.filter((name) => name === model.name).concat(standing);
  for (const other of new Set(ordered)) {
    const isInTheWay = other === model.name;
    if (room >= bytes && !isInTheWay) break;
    if (!isDroppable(draft, engine, other, targets)) {
      if (isInTheWay) return undefined;
      continue;
    }
    chosen.push(other);
    room += computeStandingBytes(draft, engine, other);
  }
  return room >= bytes ? chosen : undefined;
}

/** Makes room for a copy by letting copies leave that are not needed; none when room is already coming. */
function releaseRoom(draft: Draft, model: BundleModel, bytes: number, targets: Targets): void {
  const engines = draft
    .listOpenEngines(model.service)
    .filter((engine) => !isPlannedCopy(draft, engine, model));
  const isComing = (engine: string): boolean =>
    !listStandingModels(draft, engine).includes(model.name) &&
    computeDraftFreeBytes(draft, engine) + computeLeavingBytes(draft, engine) >= bytes;
  if (engines.some(isComing)) return;
  const isFree = (engine: string): boolean => isFreeOfModel(draft, engine, model.name);
  const ordered = [...engines.filter(isFree), ...engines.filter((engine) => !isFree(engine))];
  for (const engine of ordered) {
    const leaving = chooseLeaving(draft, engine, model, bytes, targets);
    if (leaving === undefined) continue;
    leaving.forEach((other) => dropCopy(draft, engine, other));
    return;
  }
}

function countPlannedCopies(draft: Draft, model: BundleModel): number {
  return draft
    .listHolders(model.name)
    .filter((engine) => draft.isOpen(engine) && isPlannedCopy(draft, engine, model)).length;
}

/** Reserves copies until a model has as many as wanted or no engine has room. */
export function addMissingCopies(
  draft: Draft,
  model: BundleModel,
  wanted: number,
  targets: Targets,
): void {
  const bytes = computeBytes(draft, model);
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
export function listByUrgency(draft: Draft): BundleModel[] {
  const models = [...draft.index.models.values()];
  const isReachable = (model: BundleModel): boolean =>
    draft.listHolders(model.name).some((engine) => isRoutableCopy(draft, engine, model));
  return [
    ...models.filter((model) => !isReachable(model)),
    ...models.filter((model) => isReachable(model)),
  ];
}
