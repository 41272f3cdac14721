import { isSameItem } from '../findItem/index.js';
import { ItemState, type ItemName, type LedgerEngine } from '../types.js';

/** Marks an item as leaving; it keeps its bytes until a report proves it gone. */
export function markLeaving(
  engine: LedgerEngine,
  name: ItemName,
  fencingNumber: number,
): LedgerEngine {
  const items = engine.items.map((item) =>
    isSameItem(item, name) && item.state !== ItemState.leaving
      ? { ...item, state: ItemState.leaving, fencingNumber }
      : item,
  );
  return { ...engine, items };
}
