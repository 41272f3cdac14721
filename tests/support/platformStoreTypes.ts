/** How the stand-in of the platform's store handles calls. */
export const StoreMode = {
  normal: 'sound',
  /** Responds with status 503 and applies nothing. */
  busy: 'busy',
  /** Accepts calls and never responds. */
  silent: 'silent',
  /** Applies POST calls and closes the connection without a response. */
  loseResponse: 'lost',
  /** Closes the connection of a write and applies it later, if its conditions are still met. */
  delayWrites: 'late',
  /** Delays responses by `RESPONSE_DELAY_MS`. */
  slow: 'slow',
} as const;
export type StoreMode = (typeof StoreMode)[keyof typeof StoreMode];

/** A stand-in of the platform's key-value store; it speaks the store's HTTP protocol. */
export interface PlatformStore {
  endpoint: { address: string; port: number };
  put: (key: string, value: unknown) => void;
  remove: (key: string) => void;
  read: (key: string) => unknown;
  /** Discards the change history, so that clients have to list keys before they watch again. */
  compact: () => void;
  setMode: (mode: StoreMode) => void;
  /** Keeps a copy of the present state for `restore`. */
  takeCopy: () => void;
  /**
   * Goes back to the copy in a new epoch: revisions and leases are given out again. What was put since
   * is put again by `rewrite`.
   */
  restore: () => void;
  /** Puts and removes again what operators and servers have put and removed since the copy. */
  rewrite: () => void;
  getEpoch: () => number;
  countCalls: () => number;
  /** Counts the calls as they are billed: a renewed lease costs a tenth of another call. */
  countBilledCalls: () => number;
  /** Counts the calls by the last part of their path. */
  countCallsByKind: () => Record<string, number>;
  close: () => Promise<void>;
}

/** Options of the stand-in. */
export interface PlatformStoreOptions {
  /** Epoch that the store names in its responses at first; it names none by default. */
  epoch?: number;
  /** Transforms the text of an item when it is read. */
  transformValue?: (key: string, value: string) => string;
}
