import type { ItemKind } from '../../ports/engine.js';

/** Where an item of the ledger stands. */
export const ItemState = {
  /** Bytes are reserved and a load may be under way. */
  reserved: 'reserved',
  /** A report has shown it resident. */
  resident: 'resident',
  /** Not routed to any more; an unload may be under way. */
  leaving: 'leaving',
} as const;
export type ItemState = (typeof ItemState)[keyof typeof ItemState];

/** A model or adapter that takes, or may take, memory of an engine. */
export interface LedgerItem {
  kind: ItemKind;
  name: string;
  version: string;
  /** Model that an adapter belongs to; the name itself for a model. */
  model: string;
  bytes: number;
  state: ItemState;
  /** Fencing number of the write that put it into its state. */
  fencingNumber: number;
}

/** What the ledger holds of one engine. */
export interface LedgerEngine {
  service: string;
  incarnation: string;
  memoryBytes: number;
  items: readonly LedgerItem[];
}

/** A line of the audit trail of placement. */
export interface PlacementRecord {
  atMs: number;
  host: string;
  change: string;
}

/** What every engine holds or has reserved; changed by compare-and-swap only. */
export interface Ledger {
  /** Rises with each write. */
  fencingNumber: number;
  engines: Readonly<Record<string, LedgerEngine>>;
  audit: readonly PlacementRecord[];
}

/** What names one item on an engine. */
export type ItemName = Pick<LedgerItem, 'kind' | 'name' | 'version'>;
