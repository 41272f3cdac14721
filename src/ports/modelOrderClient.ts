import type { BackendServer } from './serving.js';

/** An engine and where it listens. */
export type ServerEndpoint = Pick<BackendServer, 'id' | 'incarnation' | 'address' | 'port'>;

/** An order to load or unload a model or an adapter on an engine. */
export interface ModelOrder {
  action: 'load' | 'unload';
  model: string;
  /** Adapter of the model; omitted when the order is for the model itself. */
  adapter?: string;
  /** Number of orders accepted so far; the engine refuses the order when its own count differs. */
  expectedCount: number;
  /** Host that sends the order, the leader. */
  holder: string;
  /** Fencing token, increased with each leadership. */
  fence: number;
}

/** Outcome of an order. */
export const OrderOutcome = {
  accepted: 'accepted',
  /** The engine was already in the ordered state. */
  held: 'held',
  /** The engine is busy, or its order count differs. */
  conflict: 'conflict',
  /** The engine refused the order; sending it again would not help. */
  refused: 'refused',
  /** Another engine responded at the address. */
  misdirected: 'misdirected',
  /** Nothing was sent, as this host may no longer be the leader. */
  notSent: 'notSent',
  /** Unanswered: the order may have been carried out, or may still be. */
  unknown: 'unknown',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** Report of an engine on itself, a few hundred milliseconds old. */
export interface ModelReport {
  models: readonly { name: string; adapters: readonly string[] }[];
  /** Adapters that are being loaded, as `MODEL/NAME`. */
  loading: readonly string[];
  isBusy: boolean;
  orderCount: number;
}

/** Client for the orders and reports of engines. */
export interface ModelOrderClient {
  send: (
    server: ServerEndpoint,
    order: ModelOrder,
    /** Asked again right before the order is written; where it returns false, nothing is sent. */
    mayStillSend: () => boolean,
    /** Abandons the order: an unanswered one resets its connection, one that waits is not sent. */
    signal?: AbortSignal,
  ) => Promise<OrderOutcome>;
  /** Reads the report of an engine; undefined when none arrived. */
  readReport: (server: ServerEndpoint) => Promise<ModelReport | undefined>;
}
