import { ItemKind, OrderAction } from '../../../ports/engine.js';
import { ItemState, type Ledger, type LedgerEngine, type LedgerItem } from '../../ledger/types.js';
import type { PlannedOrder } from '../types.js';

/** Limits on the orders of one round. */
export interface OrderLimits {
  /** Model loads that may start now. */
  modelLoads: number;
  /** Adapter loads that may start now. */
  adapterLoads: number;
  /** Tells whether an order for the item is already in flight. */
  isInFlight: (engine: string, item: LedgerItem) => boolean;
}

function toOrder(
  engine: string,
  { incarnation }: LedgerEngine,
  { kind, name, version, bytes, state }: LedgerItem,
  fencingNumber: number,
): PlannedOrder {
  const action = state === ItemState.leaving ? OrderAction.unload : OrderAction.load;
  return {
    engine,
    order: { action, kind, name, version, bytes, fencingNumber, incarnation },
  };
}

function isBaseModelResident(entry: LedgerEngine, { model }: LedgerItem): boolean {
  return entry.items.some(
    ({ kind, name, state }) =>
      kind === ItemKind.model && name === model && state === ItemState.resident,
  );
}

function countResidentByName(ledger: Ledger): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { items } of Object.values(ledger.engines))
    for (const { name, state } of items)
      if (state === ItemState.resident) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}

/**
 * Chooses the orders to send now: every unload, and loads within the limits, starting with the
 * items that are resident on the fewest engines. An adapter is loaded once its model is resident.
 * Each order carries the ledger's fencing token, so that engines do not take it for an older order.
 */
export function chooseOrders(ledger: Ledger, limits: OrderLimits): PlannedOrder[] {
  const pending = Object.entries(ledger.engines).flatMap(([engine, entry]) =>
    entry.items
      .filter((item) => item.state !== ItemState.resident)
      .filter((item) => !limits.isInFlight(engine, item))
      .map((item) => ({ engine, entry, item })),
  );
  const unloads = pending.filter(({ item }) => item.state === ItemState.leaving);
  const resident = countResidentByName(ledger);
  const loads = pending
    .filter(({ item }) => item.state === ItemState.reserved)
    .sort(
      (one, other) => (resident.get(one.item.name) ?? 0) - (resident.get(other.item.name) ?? 0),
    );
  const models = loads.filter(({ item }) => item.kind === ItemKind.model);
  const adapters = loads.filter(
    ({ entry, item }) => item.kind === ItemKind.adapter && isBaseModelResident(entry, item),
  );
  return [
    ...unloads,
    ...models.slice(0, limits.modelLoads),
    ...adapters.slice(0, limits.adapterLoads),
  ].map(({ engine, entry, item }) => toOrder(engine, entry, item, ledger.fencingNumber));
}
