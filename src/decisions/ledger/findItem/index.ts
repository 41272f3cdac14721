import type { ItemKey, LedgerEngine, LedgerItem } from '../types.js';

/** Tells whether kind, name and version of two items are equal. */
export function isSameItem(one: ItemKey, other: ItemKey): boolean {
  return one.kind === other.kind && one.name === other.name && one.version === other.version;
}

/** Finds an item of an engine by kind, name and version. */
export function findItem(engine: LedgerEngine, name: ItemKey): LedgerItem | undefined {
  return engine.items.find((item) => isSameItem(item, name));
}
