import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { computeFreeBytes } from '../computeCommittedBytes/index.js';
import { findItem } from '../findItem/index.js';
import { ItemState, type LedgerEngine, type LedgerItem } from '../types.js';

/** Reserves memory for an item on an engine; returns the error on the left. */
export function reserveItem(
  engine: LedgerEngine,
  item: Omit<LedgerItem, 'state'>,
): Either<string, LedgerEngine> {
  if (findItem(engine, item) !== undefined) return left('item already has memory on the engine');
  if (item.bytes > computeFreeBytes(engine)) return left('not enough free memory on the engine');
  return right({ ...engine, items: [...engine.items, { ...item, state: ItemState.reserved }] });
}
