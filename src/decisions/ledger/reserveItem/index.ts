import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { computeFreeBytes } from '../computeCommittedBytes/index.js';
import { findItem } from '../findItem/index.js';
import { ItemState, type LedgerEngine, type LedgerItem } from '../types.js';

/** Reserves memory for an item; on the left why the engine can't take it. */
export function reserveItem(
  engine: LedgerEngine,
  item: Omit<LedgerItem, 'state'>,
): Either<string, LedgerEngine> {
  if (findItem(engine, item) !== undefined) return left('the item already has its bytes');
  if (item.bytes > computeFreeBytes(engine)) return left('the engine has too little free memory');
  return right({ ...engine, items: [...engine.items, { ...item, state: ItemState.reserved }] });
}
