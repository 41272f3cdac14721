/** What an order changes on an engine. */
export interface ModelOrder {
  action: 'load' | 'unload';
  model: string;
  /** Left out when the order is about the model itself. */
  adapter?: string;
  /** Orders that the engine must have accepted before; it refuses the order otherwise. */
  expectedCount: number;
  /** Who orders. */
  holder: string;
  /** Rises with each holder of the command. */
  fence: number;
}

/** What became of an order. */
export const OrderOutcome = {
  accepted: 'accepted',
  /** The engine was already as ordered. */
  held: 'held',
  /** The engine is busy, or its count of orders differs. */
  conflict: 'conflict',
  /** The engine refused it for good. */
  refused: 'refused',
  /** Another engine has the address. */
  misdirected: 'misdirected',
  /** No answer: the order may be carried out, now or later. */
  unknown: 'unknown',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** What an engine says of itself, as of some hundred milliseconds ago. */
export interface ModelReport {
  models: readonly { name: string; adapters: readonly string[] }[];
  /** Adapters on their way to the engine, as MODEL/NAME. */
  loading: readonly string[];
  isBusy: boolean;
  orderCount: number;
}

/** Orders and reports of engines. */
export interface ModelOrderClient {
  send: (
    server: { id: string; address: string; port: number },
    order: ModelOrder,
  ) => Promise<OrderOutcome>;
  /** Undefined when no report came. */
  readReport: (server: {
    id: string;
    address: string;
    port: number;
  }) => Promise<ModelReport | undefined>;
}
