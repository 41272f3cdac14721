import { ItemKind } from '../../../ports/engine.js';
import type { BundleModel } from '../../bundle/types.js';
import { ItemState, type LedgerItem } from '../../ledger/types.js';
import type { ReplicaTargets } from '../types.js';
import {
  findActiveItem,
  isPlannedReplica,
  isRoutableReplica,
  type LedgerDraft,
} from './createLedgerDraft.js';

/** Marks a model and its adapters on an engine as leaving. */
export function evictReplica(draft: LedgerDraft, engine: string, model: string): void {
  const items = draft.getEngine(engine)?.items ?? [];
  for (const item of items)
    if (item.model === model && item.state !== ItemState.leaving) draft.markLeaving(engine, item);
}

/** Lists the models that stand on an engine, whichever their version. */
export function listActiveModels(draft: LedgerDraft, engine: string): string[] {
  const items = draft.getEngine(engine)?.items ?? [];
  const standing = items.filter(({ state }) => state !== ItemState.leaving);
  return [...new Set(standing.map(({ model }) => model))];
}

/** Tells whether a copy may leave: others stay routable, as many as the target asks if it is a current one. */
export function isEvictable(
  draft: LedgerDraft,
  engine: string,
  modelName: string,
  targets: ReplicaTargets,
): boolean {
  const model = draft.index.models.get(modelName);
  if (model === undefined) return true;
  const others = draft.listHolders(modelName).filter((other) => other !== engine);
  if (isPlannedReplica(draft, engine, model)) {
    const kept = others.filter((other) =>
      isRoutableReplica(draft, other, model, { onlyCurrentVersion: true }),
    );
    return kept.length >= Math.max(model.replicas, targets[modelName] ?? 1);
  }
  return others.some((other) => isRoutableReplica(draft, other, model));
}

function leaveOldCopies(draft: LedgerDraft, model: BundleModel, target: number): void {
  const holders = draft.listHolders(model.name);
  const current = holders.filter((engine) =>
    isRoutableReplica(draft, engine, model, { onlyCurrentVersion: true }),
  );
  if (current.length < target) return;
  for (const engine of holders)
    if (!isPlannedReplica(draft, engine, model)) evictReplica(draft, engine, model.name);
}

function isSpentItem(draft: LedgerDraft, engine: string, item: LedgerItem): boolean {
  const entry = draft.getEngine(engine);
  if (entry === undefined || item.state === ItemState.leaving) return false;
  if (item.kind === ItemKind.model) return false;
  const adapters = draft.index.adapters.get(item.model) ?? [];
  const wanted = adapters.find(({ name }) => name === item.name);
  if (wanted === undefined) return true;
  if (wanted.version === item.version) return false;
  const current = findActiveItem(entry, ItemKind.adapter, item.name, wanted.version);
  return current?.state === ItemState.resident;
}

/** Marks what the bundle no longer lists, and old versions whose successors serve, as leaving. */
export function evictObsoleteItems(
  draft: LedgerDraft,
  engines: readonly string[],
  targets: ReplicaTargets,
): void {
  for (const engine of engines) {
    for (const model of listActiveModels(draft, engine))
      if (!draft.index.models.has(model)) evictReplica(draft, engine, model);
    for (const item of draft.getEngine(engine)?.items ?? [])
      if (isSpentItem(draft, engine, item)) draft.markLeaving(engine, item);
  }
  for (const model of draft.index.models.values())
    leaveOldCopies(draft, model, targets[model.name] ?? model.replicas);
}
