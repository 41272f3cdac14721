import { ItemKind } from '../../../ports/engine.js';
import type { BundleModel } from '../../bundle/types.js';
import { ItemState, type LedgerItem } from '../../ledger/types.js';
import type { Targets } from '../types.js';
import { findStanding, isPlannedCopy, isRoutableCopy, type Draft } from './createDraft.js';

/** Marks a model and its adapters on an engine as leaving. */
export function dropCopy(draft: Draft, engine: string, model: string): void {
  const items = draft.get(engine)?.items ?? [];
  for (const item of items)
    if (item.model === model && item.state !== ItemState.leaving) draft.leave(engine, item);
}

/** Lists the models that stand on an engine, whichever their version. */
export function listStandingModels(draft: Draft, engine: string): string[] {
  const items = draft.get(engine)?.items ?? [];
  const standing = items.filter(({ state }) => state !== ItemState.leaving);
  return [...new Set(standing.map(({ model }) => model))];
}

/** Tells whether a copy may leave: others stay routable, as many as the target asks if it is a current one. */
export function isDroppable(
  draft: Draft,
  engine: string,
  modelName: string,
  targets: Targets,
): boolean {
  const model = draft.index.models.get(modelName);
  if (model === undefined) return true;
  const others = draft.listHolders(modelName).filter((other) => other !== engine);
  if (isPlannedCopy(draft, engine, model)) {
    const kept = others.filter((other) =>
      isRoutableCopy(draft, other, model, { onlyCurrent: true }),
    );
    return kept.length >= Math.max(model.replicas, targets[modelName] ?? 1);
  }
  return others.some((other) => isRoutableCopy(draft, other, model));
}

function leaveOldCopies(draft: Draft, model: BundleModel, target: number): void {
  const holders = draft.listHolders(model.name);
  const current = holders.filter((engine) =>
    isRoutableCopy(draft, engine, model, { onlyCurrent: true }),
  );
  if (current.length < target) return;
  for (const engine of holders)
    if (!isPlannedCopy(draft, engine, model)) dropCopy(draft, engine, model.name);
}

function isSpentItem(draft: Draft, engine: string, item: LedgerItem): boolean {
  const entry = draft.get(engine);
  if (entry === undefined || item.state === ItemState.leaving) return false;
  if (item.kind === ItemKind.model) return false;
  const adapters = draft.index.adapters.get(item.model) ?? [];
  const wanted = adapters.find(({ name }) => name === item.name);
  if (wanted === undefined) return true;
  if (wanted.version === item.version) return false;
  const current = findStanding(entry, ItemKind.adapter, item.name, wanted.version);
  return current?.state === ItemState.resident;
}

/** Marks what the bundle no longer lists, and old versions whose successors serve, as leaving. */
export function leaveSpentItems(draft: Draft, engines: readonly string[], targets: Targets): void {
  for (const engine of engines) {
    for (const model of listStandingModels(draft, engine))
      if (!draft.index.models.has(model)) dropCopy(draft, engine, model);
    for (const item of draft.get(engine)?.items ?? [])
      if (isSpentItem(draft, engine, item)) draft.leave(engine, item);
  }
  for (const model of draft.index.models.values())
    leaveOldCopies(draft, model, targets[model.name] ?? model.replicas);
}
