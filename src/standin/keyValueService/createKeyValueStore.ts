/** Value of one key, with its revision and lease. */
export interface StoredKey {
  value: string;
  modRevision: number;
  lease: string;
}

/** Change of one key, sent to watch listeners. */
export interface KeyEvent {
  type: 'PUT' | 'DELETE';
  key: string;
  value: string;
  modRevision: number;
}

/** In-memory keys, revisions and leases. Keys and values are opaque strings; the HTTP stand-in stores them in base64. */
export interface KeyValueStore {
  getRevision: () => number;
  get: (key: string) => StoredKey | undefined;
  /** Stores a value and returns the new revision. */
  set: (key: string, value: string, lease: string) => number;
  grantLease: (seconds: number) => string;
  /** Renews a lease and returns its seconds; returns 0 when it does not exist. */
  renewLease: (id: string) => number;
  /** Deletes a lease and the keys that are bound to it. */
  releaseLease: (id: string) => void;
  /** Deletes expired leases and their keys; to be called periodically. */
  expireLeases: () => void;
  /** Calls the listener for each change; returns a function that removes it. */
  watch: (listener: (event: KeyEvent) => void) => () => void;
}

interface Lease {
  seconds: number;
  expiresAtMs: number;
}

const MS_PER_SECOND = 1000;

/** Creates an empty store whose leases expire by the given clock. */
export function createKeyValueStore(nowMs: () => number): KeyValueStore {
  const keys = new Map<string, StoredKey>();
  const leases = new Map<string, Lease>();
  const listeners = new Set<(event: KeyEvent) => void>();
  let revision = 0;
  let leaseCount = 0;

  const notify = (event: KeyEvent): void => {
    for (const listener of [...listeners]) listener(event);
  };
  const releaseLease = (id: string): void => {
    if (!leases.delete(id)) return;
    for (const [key, { lease }] of [...keys]) {
      if (lease !== id) continue;
      keys.delete(key);
      revision += 1;
      notify({ type: 'DELETE', key, value: '', modRevision: revision });
    }
  };

  return {
    getRevision: () => revision,
    get: (key) => keys.get(key),
    set: (key, value, lease) => {
      revision += 1;
      keys.set(key, { value, modRevision: revision, lease });
      notify({ type: 'PUT', key, value, modRevision: revision });
      return revision;
    },
    grantLease: (seconds) => {
      leaseCount += 1;
      const id = String(leaseCount);
      leases.set(id, { seconds, expiresAtMs: nowMs() + seconds * MS_PER_SECOND });
      return id;
    },
    renewLease: (id) => {
      const lease = leases.get(id);
      if (lease === undefined) return 0;
      lease.expiresAtMs = nowMs() + lease.seconds * MS_PER_SECOND;
      return lease.seconds;
    },
    releaseLease,
    expireLeases: () => {
      for (const [id, { expiresAtMs }] of [...leases]) if (nowMs() >= expiresAtMs) releaseLease(id);
    },
    watch: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
