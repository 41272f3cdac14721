import type { EngineReport } from '../../../ports/engine.js';
import { ItemKind, OrderAction, ReportedState, type EngineOrder } from '../../../ports/engine.js';
import { isSameItem } from '../../../decisions/ledger/findItem/index.js';
import { ItemState, type Ledger, type LedgerItem } from '../../../decisions/ledger/types.js';
import type { Clock } from '../../../ports/clock.js';

/** Tracks the orders sent to engines and their replies. */
export interface OrderTracker {
  recordSent: (engine: string, order: EngineOrder) => void;
  recordAccepted: (engine: string, order: EngineOrder, engineClockMs: number) => void;
  recordRefused: (engine: string, order: EngineOrder) => void;
  /** Returns whether the engine reports the item as changing, or an order for it was sent recently. */
  isInFlight: (engine: string, item: LedgerItem, report: EngineReport | undefined) => boolean;
  /**
   * Returns whether no earlier load of an item that is being unloaded can take effect after the time that the
   * report describes. This holds if the engine accepted the unload before that time; for an engine that does not
   * check fencing tokens, loads sent before the unload must also be too old to arrive by then.
   */
  hasNoPendingLoad: (
    engine: string,
    item: LedgerItem,
    report: EngineReport,
    checksFencing: boolean,
  ) => boolean;
  /** Counts the loads in flight by kind. */
  countLoadsInFlight: (
    ledger: Ledger,
    reports: ReadonlyMap<string, EngineReport>,
  ) => Record<ItemKind, number>;
}

/** Last order for one item on one engine. */
interface SentOrder {
  action: OrderAction;
  sentAtMs: number;
  incarnation: string;
  /** Clock of the engine when it first accepted the order. */
  acceptedAtMs?: number;
}

/** Milliseconds after which an order without a visible effect may be sent again. */
const RESEND_TIMEOUT_MS = 1500;

function buildOrderKey(
  engine: string,
  { kind, name, version }: Pick<LedgerItem, 'kind' | 'name' | 'version'>,
): string {
  return `${engine}/${kind}/${name}@${version}`;
}

/** Creates an empty tracker; an order can reach an engine up to `maxOrderAgeMs` after it was sent. */
export function createOrderTracker(clock: Clock, maxOrderAgeMs: number): OrderTracker {
  const sentOrders = new Map<string, SentOrder>();

  const isInFlight: OrderTracker['isInFlight'] = (engine, item, report) => {
    const reported = report?.items.find((candidate) => isSameItem(candidate, item));
    const isLeaving = item.state === ItemState.leaving;
    if (!isLeaving && reported?.state === ReportedState.loading) return true;
    if (isLeaving && reported?.state === ReportedState.unloading) return true;
    const order = sentOrders.get(buildOrderKey(engine, item));
    if (order === undefined) return false;
    if ((order.action === OrderAction.unload) !== isLeaving) return false;
    return clock.monotonicMs() - order.sentAtMs < RESEND_TIMEOUT_MS;
  };

  return {
    recordSent: (engine, order) => {
      const key = buildOrderKey(engine, order);
      const previous = sentOrders.get(key);
      const isResend =
        previous?.action === order.action && previous.incarnation === order.incarnation;
      sentOrders.set(key, {
        action: order.action,
        sentAtMs: clock.monotonicMs(),
        incarnation: order.incarnation,
        acceptedAtMs: isResend ? previous.acceptedAtMs : undefined,
      });
    },
    recordAccepted: (engine, order, engineClockMs) => {
      const entry = sentOrders.get(buildOrderKey(engine, order));
      if (entry?.action === order.action) entry.acceptedAtMs ??= engineClockMs;
    },
    recordRefused: (engine, order) => {
      sentOrders.delete(buildOrderKey(engine, order));
    },
    isInFlight,
    hasNoPendingLoad: (engine, item, report, checksFencing) => {
      const order = sentOrders.get(buildOrderKey(engine, item));
      if (order?.action !== OrderAction.unload || order.acceptedAtMs === undefined) return false;
      if (order.incarnation !== report.incarnation) return false;
      const pendingLoadsUntilMs = order.acceptedAtMs + (checksFencing ? 0 : maxOrderAgeMs);
      return report.asOfMs > pendingLoadsUntilMs;
    },
    countLoadsInFlight: (ledger, reports) => {
      const counts = { [ItemKind.model]: 0, [ItemKind.adapter]: 0 };
      for (const [engine, { items }] of Object.entries(ledger.engines))
        for (const item of items)
          if (item.state === ItemState.reserved && isInFlight(engine, item, reports.get(engine)))
            counts[item.kind] += 1;
      return counts;
    },
  };
}
