import type { Clock } from '../../../ports/clock.js';
import type { FleetStore } from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';
import { formatError } from '../../../errors/index.js';
import type { LeaderLease } from '../../../decisions/leadership/isLeaseValid/index.js';

/** A lease of the store that this host keeps alive. */
export interface HeldLease {
  /** Id of the lease; undefined while there is none. */
  getId: () => number | undefined;
  /** Timing of the last renewal; undefined while there is no lease. */
  getTiming: () => Omit<LeaderLease, 'lastTickAtMs'> | undefined;
  /** Returns the id of the current lease, or of a new one past half of its time; rejects when the store does. */
  acquire: () => Promise<number>;
  /** Renews the lease, in one call for all that ask meanwhile; false when that failed. */
  renew: () => Promise<boolean>;
  /** Makes the next use renew the lease, because it may have expired. */
  invalidate: () => void;
  drop: () => void;
}

/** Options of a held lease. */
export interface HeldLeaseOptions {
  store: FleetStore;
  clock: Clock;
  log: Log;
  /** What the lease is for, for the log. */
  purpose: string;
  ttlMs: number;
  /** Called when the store says that the lease has expired. */
  onExpired: () => void;
  /** Called when the store has answered a call. */
  onStoreResponse: () => void;
}

/** Creates the handle of a lease that is not granted yet. */
export function createHeldLease(options: HeldLeaseOptions): HeldLease {
  const { store, clock, log, purpose, ttlMs, onExpired } = options;
  let lease: (Omit<LeaderLease, 'lastTickAtMs'> & { id: number }) | undefined;
  let renewing: Promise<boolean> | undefined;

  const renew = async (): Promise<boolean> => {
    if (lease === undefined) return false;
    const current = lease;
    const renewedAtMs = clock.monotonicMs();
    const renewedAtWallMs = clock.wallMs();
    const isRenewed = await store.renewLease(current.id);
    options.onStoreResponse();
    if (isRenewed) {
      Object.assign(current, { renewedAtMs, renewedAtWallMs });
      return true;
    }
    const ageMs = Math.round(renewedAtMs - current.renewedAtMs);
    log.warn({ purpose, lease: current.id, ageMs }, 'lease expired');
    if (lease === current) {
      lease = undefined;
      onExpired();
    }
    return false;
  };

  return {
    getId: () => lease?.id,
    getTiming: () => lease,
    acquire: async () => {
      const renewedAtMs = clock.monotonicMs();
      if (lease !== undefined && renewedAtMs - lease.renewedAtMs < lease.ttlMs / 2) return lease.id;
      const renewedAtWallMs = clock.wallMs();
      const granted = await store.grantLease(ttlMs);
      options.onStoreResponse();
      lease = { id: granted.lease, ttlMs: granted.ttlMs, renewedAtMs, renewedAtWallMs };
      return lease.id;
    },
    renew: () => {
      renewing ??= renew()
        .catch((error: unknown) => {
          log.warn({ purpose, error: formatError(error) }, 'lease renewal failed');
          return false;
        })
        .finally(() => {
          renewing = undefined;
        });
      return renewing;
    },
    invalidate: () => {
      if (lease !== undefined) lease.renewedAtMs = -Infinity;
    },
    drop: () => {
      lease = undefined;
    },
  };
}
