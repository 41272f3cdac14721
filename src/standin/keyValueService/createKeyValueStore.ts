/** One stored key. */
export interface StoredKey {
  value: string;
  modRevision: number;
  lease: string;
}

/** A change that watchers are told of. */
export interface KeyEvent {
  type: 'PUT' | 'DELETE';
  key: string;
  value: string;
  modRevision: number;
}

/** Keys, revisions and leases of the key-value stand-in; keys and values stay in base64. */
export interface KeyValueStore {
  getRevision: () => number;
  get: (key: string) => StoredKey | undefined;
  /** Puts a value and returns the new revision. */
  set: (key: string, value: string, lease: string) => number;
  grantLease: (seconds: number) => string;
  /** Returns the seconds of a lease that was kept alive, 0 when there is none. */
  renewLease: (id: string) => number;
  releaseLease: (id: string) => void;
  /** Ends leases that are over; to be called often. */
  expireLeases: () => void;
  watch: (listener: (event: KeyEvent) => void) => () => void;
}

interface Lease {
  seconds: number;
  expiresAtMs: number;
}

const MILLISECONDS = 1000;

/** Creates an empty store on the given clock. */
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
      leases.set(id, { seconds, expiresAtMs: nowMs() + seconds * MILLISECONDS });
      return id;
    },
    renewLease: (id) => {
      const lease = leases.get(id);
      if (lease === undefined) return 0;
      lease.expiresAtMs = nowMs() + lease.seconds * MILLISECONDS;
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
