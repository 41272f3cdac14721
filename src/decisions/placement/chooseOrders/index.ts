import { ItemKind, OrderAction } from '../../../ports/engine.js';
import { ItemState, type Ledger, type LedgerEngine, type LedgerItem } from '../../ledger/types.js';
import type { PlannedOrder } from '../types.js';

/** What limits the orders of one round. */
export interface OrderLimits {
  /** Model loads that may start now. */
  modelLoads: number;
  /** Adapter loads that may start now. */
  adapterLoads: number;
  /** Tells whether an order for this item is already under way. */
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

function isBaseResident(entry: LedgerEngine, { model }: LedgerItem): boolean {
  return entry.items.some(
    ({ kind, name, state }) =>
      kind === ItemKind.model && name === model && state === ItemState.resident,
  );
}

function countResident(ledger: Ledger): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { items } of Object.values(ledger.engines))
    for (const { name, state } of items)
      if (state === ItemState.resident) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}

/**
 * Chooses the orders to send now: every unload, and loads within the allowance, first of what has the
 * fewest resident copies; an adapter is loaded once its model is resident. Each order carries the
 * ledger's number, so that no later order is taken for an older one.
 */
export function chooseOrders(ledger: Ledger, allowance: OrderLimits): PlannedOrder[] {
  const due = Object.entries(ledger.engines).flatMap(([engine, entry]) =>
    entry.items
      .filter((item) => item.state !== ItemState.resident)
      .filter((item) => !allowance.isInFlight(engine, item))
      .map((item) => ({ engine, entry, item })),
  );
  const unloads = due.filter(({ item }) => item.state === ItemState.leaving);
  const resident = countResident(ledger);
  const loads = due
    .filter(({ item }) => item.state === ItemState.reserved)
    .sort(
      (one, other) => (resident.get(one.item.name) ?? 0) - (resident.get(other.item.name) ?? 0),
    );
  const models = loads.filter(({ item }) => item.kind === ItemKind.model);
  const adapters = loads.filter(
    ({ entry, item }) => item.kind === ItemKind.adapter && isBaseResident(entry, item),
  );
  return [
    ...unloads,
    ...models.slice(0, allowance.modelLoads),
    ...adapters.slice(0, allowance.adapterLoads),
  ].map(({ engine, entry, item }) => toOrder(engine, entry, item, ledger.fencingNumber));
}
