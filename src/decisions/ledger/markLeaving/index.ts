import { isSameItem } from '../findItem/index.js';
import { ItemState, type ItemKey, type LedgerEngine } from '../types.js';

/** Marks an item as leaving; its memory stays committed until a report shows it unloaded. */
export function markLeaving(
  engine: LedgerEngine,
  name: ItemKey,
  fencingNumber: number,
): LedgerEngine {
  const items = engine.items.map((item) =>
    isSameItem(item, name) && item.state !== ItemState.leaving
      ? { ...item, state: ItemState.leaving, fencingNumber }
      : item,
  );
  return { ...engine, items };
}
