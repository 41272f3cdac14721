import type { ItemKind } from '../../ports/engine.js';

/** State of an item in the ledger. */
export const ItemState = {
  /** Memory is reserved and a load may be in flight. */
  reserved: 'reserved',
  /** A report has shown the item loaded. */
  resident: 'resident',
  /** No longer routed to; an unload may be in flight. */
  leaving: 'leaving',
} as const;
export type ItemState = (typeof ItemState)[keyof typeof ItemState];

/** A model or adapter that occupies, or may occupy, memory of an engine. */
export interface LedgerItem {
  kind: ItemKind;
  name: string;
  version: string;
  /** Base model of an adapter, if known; otherwise the item's own name. */
  model: string;
  bytes: number;
  state: ItemState;
  /** Fencing token of the write that set the state. */
  fencingNumber: number;
}

/** Ledger entry of one engine. */
export interface LedgerEngine {
  service: string;
  incarnation: string;
  memoryBytes: number;
  items: readonly LedgerItem[];
}

/** A record in the audit trail of placement. */
export interface PlacementRecord {
  atMs: number;
  host: string;
  change: string;
}

/**
 * Models and adapters of each engine with their bytes and state, the fencing token that rises with
 * each write, and the audit trail of placement; written only by compare-and-swap.
 */
export interface Ledger {
  /** Fencing token; rises with each write. */
  fencingNumber: number;
  engines: Readonly<Record<string, LedgerEngine>>;
  audit: readonly PlacementRecord[];
}

/** Fields that identify an item on an engine. */
export type ItemKey = Pick<LedgerItem, 'kind' | 'name' | 'version'>;
