/** What an order asks of an engine. */
export const OrderAction = { load: 'load', unload: 'unload' } as const;
export type OrderAction = (typeof OrderAction)[keyof typeof OrderAction];

/** Kinds of items that occupy accelerator memory. */
export const ItemKind = { model: 'model', adapter: 'adapter' } as const;
export type ItemKind = (typeof ItemKind)[keyof typeof ItemKind];

/** An order to load or unload one model or adapter. */
export interface EngineOrder {
  action: OrderAction;
  kind: ItemKind;
  name: string;
  version: string;
  bytes: number;
  /** Rises with each ledger write; an engine that checks it refuses lower numbers. */
  fencingNumber: number;
  /** Incarnation that the order is meant for. */
  incarnation: string;
}

/** An engine's answer to an order. */
export interface OrderReply {
  accepted: boolean;
  /** Engine's own clock in milliseconds when it took the order. */
  engineClockMs: number;
  reason?: string;
}

/** Where a reported item stands. */
export const ReportedState = {
  loading: 'loading',
  resident: 'resident',
  unloading: 'unloading',
} as const;
export type ReportedState = (typeof ReportedState)[keyof typeof ReportedState];

/** One item of an engine's report. */
export interface ReportedItem {
  kind: ItemKind;
  name: string;
  version: string;
  bytes: number;
  state: ReportedState;
}

/** An engine's own account of itself, as of a moment in the past. */
export interface EngineReport {
  incarnation: string;
  /** Engine's clock at the moment the report describes. */
  asOfMs: number;
  /** Engine's clock when it answered. */
  engineClockMs: number;
  memoryBytes: number;
  items: ReportedItem[];
  inFlight: number;
}

/** Orders and reports of one engine; both reject when the answer is lost. */
export interface EngineControl {
  sendOrder: (origin: string, order: EngineOrder) => Promise<OrderReply>;
  readReport: (origin: string) => Promise<EngineReport>;
}
