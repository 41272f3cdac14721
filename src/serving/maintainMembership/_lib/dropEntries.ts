import { formatError } from '../../../errors/index.js';
import type { FleetStore, StoreCondition } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';

/** Removes the keys of the conditions if all hold. Ending their leases could end those of other hosts. */
export async function dropEntries(
  { store, log }: { store: Pick<FleetStore, 'transact'>; log: Log },
  conditions: readonly StoreCondition[],
): Promise<void> {
  if (conditions.length === 0) return;
  const removals = conditions.map(({ key }) => key);
  await store.transact({ conditions, writes: [], removals }).catch((error: unknown) => {
    log.warn({ removals, error: formatError(error) }, 'entries not removed, they will expire');
  });
}
