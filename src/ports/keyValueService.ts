/** A stored value with the revision to pass to a compare-and-swap. */
export interface KeyValueEntry {
  value: string;
  /** Revision of the last change of this key; 0 means that the key does not exist. */
  revision: number;
}

/** Result of a compare-and-swap whose response arrived. */
export type SwapResult =
  { swapped: true; revision: number } | { swapped: false; current: KeyValueEntry | undefined };

/** Options of a compare-and-swap. */
export interface CompareAndSwapOptions {
  /** Lease that the key is attached to; the key is deleted when the lease expires. */
  lease?: string;
}

/**
 * Key-value service of the platform. Every call rejects on a timeout or a lost response,
 * after which a write may or may not have taken effect.
 */
export interface KeyValueService {
  get: (key: string) => Promise<KeyValueEntry | undefined>;
  compareAndSwap: (
    key: string,
    expectedRevision: number,
    value: string,
    options?: CompareAndSwapOptions,
  ) => Promise<SwapResult>;
  /** Grants a lease of the given duration in seconds and returns its id. */
  grantLease: (seconds: number) => Promise<string>;
  /** Renews a lease; returns false when it has already expired. */
  renewLease: (lease: string) => Promise<boolean>;
  releaseLease: (lease: string) => Promise<void>;
  /** Calls back for each change of the key until the signal aborts; rejects when the watch fails. */
  watch: (
    key: string,
    onChange: (entry: KeyValueEntry | undefined) => void,
    signal: AbortSignal,
  ) => Promise<void>;
}
