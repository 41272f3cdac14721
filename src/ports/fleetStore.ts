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
  /** Keys that are removed. */
  removals?: readonly string[];
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

/** What the store answered. */
export interface StoreAnswer<T> {
  value: T;
  /**
   * Epoch of the state that answered, which rises by one each time the store is restored from a copy;
   * absent where the store names none.
   */
  epoch?: number;
}

/**
 * Client of the platform's key-value service. Each call rejects with a KeyValueServiceError when it is
 * refused or its response is lost; in the latter case a change may have taken effect. Revisions and
 * leases are those of the store, which gives them out again in another epoch.
 */
export interface StoreClient {
  /** Lists one page of the items under a prefix, after the given key. */
  list: (prefix: string, after?: string) => Promise<StoreAnswer<StorePage>>;
  /** Waits for changes after a revision; undefined when that history is no longer available. */
  watch: (
    prefix: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<StoreAnswer<{ changes: StoreChange[]; revision: number } | undefined>>;
  /** Applies the writes and removals when all conditions hold. */
  transact: (
    transaction: StoreTransaction,
  ) => Promise<StoreAnswer<{ result: TransactionResult; revision: number }>>;
  grantLease: (ttlMs: number) => Promise<StoreAnswer<{ lease: number; ttlMs: number }>>;
  /** Renews a lease; false when it has expired. */
  renewLease: (lease: number) => Promise<StoreAnswer<boolean>>;
  close: () => Promise<void>;
}

/**
 * Key-value service as used by the fleet: a StoreClient whose numbers are valid in one epoch only, and
 * end with it. Revisions rise over epochs.
 */
export interface FleetStore {
  /** Epoch of the last response; 0 before the first one, and where the store names none. */
  getEpoch: () => number;
  /** Sets a function that is called, with the new epoch, when a response shows that the store was restored. */
  onEpochChange: (listener: (epoch: number) => void) => void;
  /** Lists one page of the items under a prefix, after the given key. */
  list: (prefix: string, after?: string) => Promise<StorePage>;
  /**
   * Waits for changes after a revision; undefined when that history is no longer available, as after
   * a restore.
   */
  watch: (
    prefix: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<{ changes: StoreChange[]; revision: number } | undefined>;
  /** Applies the writes and removals when all conditions hold. */
  transact: (
    transaction: StoreTransaction,
  ) => Promise<{ result: TransactionResult; revision: number }>;
  grantLease: (ttlMs: number) => Promise<{ lease: number; ttlMs: number }>;
  /** Renews a lease; returns false when it has expired, or was granted in an earlier epoch. */
  renewLease: (lease: number) => Promise<boolean>;
  close: () => Promise<void>;
}
