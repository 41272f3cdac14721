import { createPause } from '../../../common/createPause.js';
import { isAborted } from '../../../common/isAborted.js';
import { computeBackoffMs } from '../../../decisions/leadership/computeBackoffMs/index.js';
import { formatError } from '../../../errors/index.js';
import type { Clock } from '../../../ports/clock.js';
import {
  TransactionResult,
  type FleetStore,
  type StoreCondition,
} from '../../../ports/fleetStore.js';
import type { Log } from '../../../ports/log.js';
import type { StoreOutage } from '../../createStoreOutage/index.js';
import { createHeldLease } from './createHeldLease.js';
import { HOSTS_PREFIX, type FleetHost } from './fleetState.js';

/** This host's entry in the store, by which other hosts find it. */
export interface Registration {
  isRegistered: () => boolean;
  /** Renews the entry at once, because the store does not list it. */
  renewNow: () => void;
  /** Registers again at a random moment within the milliseconds, as the store may have lost the entry. */
  renewWithin: (spreadMs: number) => void;
  /** Condition on this host's own entry; undefined while there is none. */
  getCondition: () => StoreCondition | undefined;
  /** Stops renewing the entry. */
  leave: () => void;
}

/** Options of a registration. */
export interface RegistrationOptions {
  store: FleetStore;
  clock: Clock;
  log: Log;
  random: () => number;
  self: FleetHost;
  incarnation: string;
  /** Duration of the lease. The leader learns of a failed host by its connection, not by this. */
  ttlMs: number;
  signal: AbortSignal;
  outage: Pick<StoreOutage, 'recordResponse'>;
}

const RENEWALS_PER_LEASE = 3; // each host of a large fleet pays for them all day
const LISTING_LAG_MS = 1000; // a list that was read before the registration may arrive after it

/** Keeps this host registered until the signal aborts or `leave` is called. */
export function maintainRegistration(options: RegistrationOptions): Registration {
  const { store, clock, log, random, self, incarnation, ttlMs, signal } = options;
  const pause = createPause();
  let isRegistered = false;
  let renewalTimer: NodeJS.Timeout | undefined;
  let registeredAtMs = -Infinity;
  let isLeaving = false;
  let revision = 0;
  const lease = createHeldLease({
    store,
    clock,
    log,
    purpose: 'registration',
    ttlMs,
    onExpired: () => {
      isRegistered = false;
    },
    onStoreResponse: options.outage.recordResponse,
  });

  const key = `${HOSTS_PREFIX}${self.name}`;

  const register = async (): Promise<void> => {
    const { address, port, linkMbps } = self;
    const id = await lease.acquire();
    const value = JSON.stringify({ address, port, linkMbps, incarnation });
    const { result, revision: written } = await store.transact({
      conditions: [],
      writes: [{ key, value, lease: id }],
    });
    if (result === TransactionResult.leaseEnded) {
      lease.drop();
      throw new Error(`lease ${id} of the registration has ended`);
    }
    if (result !== TransactionResult.done) throw new Error(`registration not stored: ${result}`);
    isRegistered = true;
    revision = written;
    registeredAtMs = clock.monotonicMs();
    log.info({ lease: id, ttlMs }, 'host registered');
  };

  const run = async (): Promise<void> => {
    let failures = 0;
    while (!isAborted(signal) && !isLeaving) {
      try {
        if (!isRegistered) await register();
        else if (!(await lease.renew()) && lease.getId() === undefined) await register();
        failures = 0;
      } catch (error) {
        if (isAborted(signal)) return;
        failures += 1;
        log.warn({ failures, error: formatError(error) }, 'registration failed');
      }
      const waitMs =
        failures > 0 ? computeBackoffMs(failures, random()) : ttlMs / RENEWALS_PER_LEASE;
      await pause.wait(waitMs, signal);
    }
  };
  void run();

  return {
    isRegistered: () => isRegistered,
    renewNow: () => {
      if (!isRegistered || clock.monotonicMs() - registeredAtMs < LISTING_LAG_MS) return;
      isRegistered = false;
      pause.end();
    },
    renewWithin: (spreadMs) => {
      lease.drop();
      isRegistered = false;
      clearTimeout(renewalTimer);
      renewalTimer = setTimeout(pause.end, random() * spreadMs);
    },
    getCondition: () => (isRegistered ? { key, revision } : undefined),
    leave: () => {
      isLeaving = true;
      clearTimeout(renewalTimer);
      pause.end();
    },
  };
}
