import { ItemKind } from '../../../ports/engine.js';
import type { BundleModel } from '../../bundle/types.js';
import { ItemState, type LedgerItem } from '../../ledger/types.js';
import type { ReplicaTargets } from '../types.js';
import {
  findActiveItem,
  isCurrentReplica,
  isRoutableReplica,
  type LedgerDraft,
} from './createLedgerDraft.js';

/** Marks a model and its adapters on an engine as leaving. */
export function evictReplica(draft: LedgerDraft, engine: string, model: string): void {
  const items = draft.getEngine(engine)?.items ?? [];
  for (const item of items)
    if (item.model === model && item.state !== ItemState.leaving) draft.markLeaving(engine, item);
}

/** Lists the models that have reserved or resident items of any version on an engine. */
export function listActiveModels(draft: LedgerDraft, engine: string): string[] {
  const items = draft.getEngine(engine)?.items ?? [];
  const active = items.filter(({ state }) => state !== ItemState.leaving);
  return [...new Set(active.map(({ model }) => model))];
}

/**
 * Tells whether a replica can be evicted. A replica at the current versions can be evicted when
 * enough others at the current versions are routable to meet the target, an outdated one when any
 * other replica of the model is routable. A replica of a model that the bundle does not list can
 * always be evicted.
 */
export function isEvictable(
  draft: LedgerDraft,
  engine: string,
  modelName: string,
  targets: ReplicaTargets,
): boolean {
  const model = draft.index.models.get(modelName);
  if (model === undefined) return true;
  const others = draft.listHolders(modelName).filter((other) => other !== engine);
  if (isCurrentReplica(draft, engine, model)) {
    const remaining = others.filter((other) =>
      isRoutableReplica(draft, other, model, { onlyCurrentVersion: true }),
    );
    return remaining.length >= Math.max(model.replicas, targets[modelName] ?? 1);
  }
  return others.some((other) => isRoutableReplica(draft, other, model));
}

function evictOutdatedReplicas(draft: LedgerDraft, model: BundleModel, target: number): void {
  const holders = draft.listHolders(model.name);
  const current = holders.filter((engine) =>
    isRoutableReplica(draft, engine, model, { onlyCurrentVersion: true }),
  );
  if (current.length < target) return;
  for (const engine of holders)
    if (!isCurrentReplica(draft, engine, model)) evictReplica(draft, engine, model.name);
}

function isObsoleteAdapter(draft: LedgerDraft, engine: string, item: LedgerItem): boolean {
  const entry = draft.getEngine(engine);
  if (entry === undefined || item.state === ItemState.leaving) return false;
  if (item.kind === ItemKind.model) return false;
  const adapters = draft.index.adapters.get(item.model) ?? [];
  const listedAdapter = adapters.find(({ name }) => name === item.name);
  if (listedAdapter === undefined) return true;
  if (listedAdapter.version === item.version) return false;
  const successor = findActiveItem(entry, ItemKind.adapter, item.name, listedAdapter.version);
  return successor?.state === ItemState.resident;
}

/**
 * Marks as leaving the items that the bundle no longer lists and the old versions whose successors
 * are resident.
 */
export function evictObsoleteItems(
  draft: LedgerDraft,
  engines: readonly string[],
  targets: ReplicaTargets,
): void {
  for (const engine of engines) {
    for (const model of listActiveModels(draft, engine))
      if (!draft.index.models.has(model)) evictReplica(draft, engine, model);
    for (const item of draft.getEngine(engine)?.items ?? [])
      if (isObsoleteAdapter(draft, engine, item)) draft.markLeaving(engine, item);
  }
  for (const model of draft.index.models.values())
    evictOutdatedReplicas(draft, model, targets[model.name] ?? model.replicas);
}
