import type { EngineReport } from '../../../ports/engine.js';
import { ItemKind, OrderAction, ReportedState, type EngineOrder } from '../../../ports/engine.js';
import { isSameItem } from '../../../decisions/ledger/findItem/index.js';
import { ItemState, type Ledger, type LedgerItem } from '../../../decisions/ledger/types.js';
import type { Clock } from '../../../ports/clock.js';

/** Orders that were sent, and what the engines said to them. */
export interface OrderTracker {
  recordSent: (engine: string, order: EngineOrder) => void;
  recordAccepted: (engine: string, order: EngineOrder, engineClockMs: number) => void;
  recordRefused: (engine: string, order: EngineOrder) => void;
  /** Tells whether an order for the item may still be on its way or at work. */
  isInFlight: (engine: string, item: LedgerItem, report: EngineReport | undefined) => boolean;
  /** Tells whether no earlier load of a leaving item can take effect after the report's moment. */
  hasNoPendingLoad: (
    engine: string,
    item: LedgerItem,
    report: EngineReport,
    checksFencing: boolean,
  ) => boolean;
  /** Counts loads under way by kind. */
  countLoadsInFlight: (
    ledger: Ledger,
    reports: ReadonlyMap<string, EngineReport>,
  ) => Record<ItemKind, number>;
}

interface SentOrder {
  action: OrderAction;
  sentAtMs: number;
  incarnation: string;
  /** Engine's clock when it first took the order. */
  acceptedAtMs?: number;
}

/** Time in milliseconds after which an order that shows no effect is sent again. */
const RESEND_MS = 1500;

function buildKey(
  engine: string,
  { kind, name, version }: Pick<LedgerItem, 'kind' | 'name' | 'version'>,
): string {
  return `${engine}/${kind}/${name}@${version}`;
}

/** Creates a book without orders. */
export function createOrderTracker(clock: Clock, orderAgeMs: number): OrderTracker {
  const sent = new Map<string, SentOrder>();

  const isInFlight: OrderTracker['isInFlight'] = (engine, item, report) => {
    const reported = report?.items.find((candidate) => isSameItem(candidate, item));
    const isLeaving = item.state === ItemState.leaving;
    if (!isLeaving && reported?.state === ReportedState.loading) return true;
    if (isLeaving && reported?.state === ReportedState.unloading) return true;
    const order = sent.get(buildKey(engine, item));
    if (order === undefined) return false;
    if ((order.action === OrderAction.unload) !== isLeaving) return false;
    return clock.monotonicMs() - order.sentAtMs < RESEND_MS;
  };

  return {
    recordSent: (engine, order) => {
      const key = buildKey(engine, order);
      const earlier = sent.get(key);
      const isRepeat =
        earlier?.action === order.action && earlier.incarnation === order.incarnation;
      sent.set(key, {
        action: order.action,
        sentAtMs: clock.monotonicMs(),
        incarnation: order.incarnation,
        acceptedAtMs: isRepeat ? earlier.acceptedAtMs : undefined,
      });
    },
    recordAccepted: (engine, order, engineClockMs) => {
      const entry = sent.get(buildKey(engine, order));
      if (entry?.action === order.action) entry.acceptedAtMs ??= engineClockMs;
    },
    recordRefused: (engine, order) => {
      sent.delete(buildKey(engine, order));
    },
    isInFlight,
    hasNoPendingLoad: (engine, item, report, checksFencing) => {
      const order = sent.get(buildKey(engine, item));
      if (order?.action !== OrderAction.unload || order.acceptedAtMs === undefined) return false;
      if (order.incarnation !== report.incarnation) return false;
      const quietAfterMs = order.acceptedAtMs + (checksFencing ? 0 : orderAgeMs);
      return report.asOfMs > quietAfterMs;
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
