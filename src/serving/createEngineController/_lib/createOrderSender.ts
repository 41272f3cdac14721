import { OrderOutcome, type ModelOrder } from '../../../ports/modelOrderClient.js';
import type { BackendServer } from '../../../ports/serving.js';
import type { EngineControllerOptions } from '../types.js';

/** Sends orders to one engine while this host leads and the engine wants orders. */
export interface OrderSender {
  /** Sends an order, unless the number of orders that the engine has accepted is unknown. */
  send: (
    order: Pick<ModelOrder, 'action' | 'model' | 'adapter'>,
    orderCount: number | undefined,
  ) => Promise<OrderOutcome>;
  getLastOrderAtMs: () => number;
}

/** Options of the order sender. */
export interface OrderSenderOptions extends Pick<
  EngineControllerOptions,
  | 'clock'
  | 'log'
  | 'metrics'
  | 'orders'
  | 'holder'
  | 'fence'
  | 'confirmLeadership'
  | 'isLeadershipConfirmed'
> {
  getServer: () => BackendServer;
  /** Whether the engine may be sent anything: it neither leaves nor wants a pause. */
  mayCall: () => boolean;
  /** Abandons the order in flight when the leadership is lost or the engine is gone. */
  signal: AbortSignal;
}

/** Creates the order sender of an engine. */
export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const { clock, log, metrics, orders, holder, fence, getServer, mayCall } = options;
  let lastOrderAtMs = -Infinity;
  return {
    send: async (wanted, expectedCount) => {
      const server = getServer();
      if (!(await options.confirmLeadership())) {
        log.warn(
          { server: server.id, ...wanted, fence },
          'order not sent: leadership not confirmed',
        );
        return OrderOutcome.refused;
      }
      if (expectedCount === undefined || !mayCall()) return OrderOutcome.refused;
      lastOrderAtMs = clock.monotonicMs();
      const order = { ...wanted, expectedCount, holder, fence };
      const mayStillSend = (): boolean => options.isLeadershipConfirmed() && mayCall();
      const outcome = await orders.send(server, order, mayStillSend, options.signal);
      metrics.countOrder(wanted.action, outcome);
      const isSent = outcome !== OrderOutcome.notSent;
      log.info(
        { server: server.id, ...order, outcome },
        isSent
          ? 'order sent'
          : 'order not sent: the engine wants none, or leadership is no longer confirmed',
      );
      return isSent ? outcome : OrderOutcome.refused;
    },
    getLastOrderAtMs: () => lastOrderAtMs,
  };
}
