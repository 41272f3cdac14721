/** One stored item with the revision of its last change. */
export interface StoreItem {
  key: string;
  value: Buffer;
  revision: number;
  /** Lease that the item is bound to; 0 for none. */
  lease: number;
}

/** A change that a watch saw; without a value the item was removed. */
export interface StoreChange {
  key: string;
  revision: number;
  value?: Buffer;
  lease: number;
}

/** Some items of a prefix. */
export interface StorePage {
  items: StoreItem[];
  hasMore: boolean;
  revision: number;
}

/** A condition on a key; revision 0 means that it does not exist. */
export interface StoreCondition {
  key: string;
  revision: number;
}

/** A change of several keys, all or none. */
export interface StoreTransaction {
  conditions: readonly StoreCondition[];
  writes: readonly { key: string; value: string; lease?: number }[];
}

/** Outcome of a transaction whose answer arrived. */
export const TransactionResult = {
  done: 'done',
  conflict: 'conflict',
  leaseEnded: 'leaseEnded',
} as const;
export type TransactionResult = (typeof TransactionResult)[keyof typeof TransactionResult];

/**
 * The platform's key-value service as the fleet uses it. Each call rejects with a
 * KeyValueServiceError when it is refused or its answer is lost; a change may then have been made.
 */
export interface FleetStore {
  list: (prefix: string, after?: string) => Promise<StorePage>;
  /** Waits for changes after a revision; undefined when that history is gone. */
  watch: (
    prefix: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<{ changes: StoreChange[]; revision: number } | undefined>;
  transact: (
    transaction: StoreTransaction,
  ) => Promise<{ result: TransactionResult; revision: number }>;
  grantLease: (ttlMs: number) => Promise<{ lease: number; ttlMs: number }>;
  /** Returns false when the lease has ended. */
  renewLease: (lease: number) => Promise<boolean>;
  endLease: (lease: number) => Promise<void>;
  close: () => Promise<void>;
}
