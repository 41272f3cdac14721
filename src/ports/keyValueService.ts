/** One stored value with the revision that a compare-and-swap names. */
export interface KeyValueEntry {
  value: string;
  /** Revision of the last change of this key; 0 stands for "absent". */
  revision: number;
}

/** Outcome of a compare-and-swap whose answer arrived. */
export type SwapResult =
  { swapped: true; revision: number } | { swapped: false; current: KeyValueEntry | undefined };

/** Options of a compare-and-swap. */
export interface CompareAndSwapOptions {
  /** Lease the key is bound to; it vanishes with the lease. */
  lease?: string;
}

/**
 * The platform's key-value service. Every call rejects on a timeout or a lost answer,
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
  /** Grants a lease of the given seconds and returns its id. */
  grantLease: (seconds: number) => Promise<string>;
  /** Returns false when the lease has already lapsed. */
  renewLease: (lease: string) => Promise<boolean>;
  releaseLease: (lease: string) => Promise<void>;
  /** Calls back for each change of the key until the signal aborts; rejects when the watch breaks. */
  watch: (
    key: string,
    onChange: (entry: KeyValueEntry | undefined) => void,
    signal: AbortSignal,
  ) => Promise<void>;
}
