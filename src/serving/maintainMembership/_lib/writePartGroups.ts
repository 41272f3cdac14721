import { formatError } from '../../../errors/index.js';
import { TransactionResult, type FleetStore } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';
import type { SavedPartGroup } from '../../types.js';
import { listLeadershipConditions, QUARANTINE_KEY } from './fleetState.js';

/** Stores the quarantined prompt parts under a leadership that still holds; returns whether it did. */
export async function writePartGroups(
  { store, log, incarnation }: { store: FleetStore; log: Log; incarnation: string },
  fence: number | undefined,
  groups: readonly SavedPartGroup[],
): Promise<boolean> {
  if (fence === undefined) return false;
  try {
    const { result } = await store.transact({
      conditions: listLeadershipConditions(incarnation, fence),
      writes: [{ key: QUARANTINE_KEY, value: JSON.stringify(groups) }],
    });
    return result === TransactionResult.done;
  } catch (error) {
    log.warn({ groups: groups.length, error: formatError(error) }, 'quarantine not stored');
    return false;
  }
}
