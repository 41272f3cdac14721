/** A stored item with the revision of its last change. */
export interface StoreItem {
  key: string;
  value: Buffer;
  revision: number;
  /** Lease that the item is attached to; 0 for none. */
  lease: number;
}

/** A change reported by a watch; without a value the item was removed. */
export interface StoreChange {
  key: string;
  revision: number;
  value?: Buffer;
  lease: number;
}

/** One page of the items under a prefix. */
export interface StorePage {
  items: StoreItem[];
  hasMore: boolean;
  revision: number;
}

/** A condition on the revision of a key; 0 means that the key does not exist. */
export interface StoreCondition {
  key: string;
  revision: number;
}

/** An atomic change of several keys. */
export interface StoreTransaction {
  conditions: readonly StoreCondition[];
  writes: readonly { key: string; value: string; lease?: number }[];
}

/** Result of a transaction whose response arrived; only `done` has written anything. */
export const TransactionResult = {
  done: 'done',
  /** A condition did not hold. */
  conflict: 'conflict',
  /** A lease of the writes has ended. */
  leaseEnded: 'leaseEnded',
} as const;
export type TransactionResult = (typeof TransactionResult)[keyof typeof TransactionResult];

/**
 * Key-value service of the platform as used by the fleet. Each call rejects with a
 * KeyValueServiceError when it is refused or its response is lost; in the latter case a change may
 * have taken effect.
 */
export interface FleetStore {
  /** Lists one page of the items under a prefix, after the given key. */
  list: (prefix: string, after?: string) => Promise<StorePage>;
  /** Waits for changes after a revision; undefined when that history is no longer available. */
  watch: (
    prefix: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<{ changes: StoreChange[]; revision: number } | undefined>;
  /** Applies the writes when all conditions hold. */
  transact: (
    transaction: StoreTransaction,
  ) => Promise<{ result: TransactionResult; revision: number }>;
  grantLease: (ttlMs: number) => Promise<{ lease: number; ttlMs: number }>;
  /** Renews a lease; returns false when it has expired. */
  renewLease: (lease: number) => Promise<boolean>;
  endLease: (lease: number) => Promise<void>;
  close: () => Promise<void>;
}
