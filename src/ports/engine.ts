/** What an order asks of an engine: to load or to unload a model or adapter. */
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
  /** Fencing token, increased by each ledger write; engines that check it refuse lower ones. */
  fencingNumber: number;
  /** Incarnation of the engine that the order is meant for. */
  incarnation: string;
}

/** Reply of an engine to an order. */
export interface OrderReply {
  accepted: boolean;
  /** Clock of the engine in milliseconds when it received the order. */
  engineClockMs: number;
  reason?: string;
}

/** Loading state of a reported item. */
export const ReportedState = {
  loading: 'loading',
  resident: 'resident',
  unloading: 'unloading',
} as const;
export type ReportedState = (typeof ReportedState)[keyof typeof ReportedState];

/** One item in the report of an engine. */
export interface ReportedItem {
  kind: ItemKind;
  name: string;
  version: string;
  bytes: number;
  state: ReportedState;
}

/** State of an engine as reported by itself, as of a time in the past. */
export interface EngineReport {
  incarnation: string;
  /** Clock of the engine at the time that the report describes. */
  asOfMs: number;
  /** Clock of the engine when it sent the report. */
  engineClockMs: number;
  memoryBytes: number;
  items: ReportedItem[];
  inFlight: number;
}

/** Client for orders and reports of engines; both calls reject when the response is lost. */
export interface EngineControl {
  sendOrder: (origin: string, order: EngineOrder) => Promise<OrderReply>;
  readReport: (origin: string) => Promise<EngineReport>;
}
