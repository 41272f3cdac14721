import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { isAborted } from '../../common/isAborted.js';
import { MILLISECONDS_PER_SECOND } from '../../decisions/rate/constants/index.js';
import { formatError } from '../../errors/index.js';
import type { Clock } from '../../ports/clock.js';
import type { KeyValueService } from '../../ports/keyValueService.js';
import type { Log } from '../../ports/log.js';

/** Leadership as known to this process. */
export interface Leadership {
  /** False once the lease may have expired; check it right before each action. */
  isHeld: () => boolean;
}

/** Dependencies and options of runLeaderElection. */
export interface LeaderElectionOptions {
  service: KeyValueService;
  clock: Clock;
  log: Log;
  /** Key that the leader holds in the key-value service. */
  key: string;
  host: string;
  leaseSeconds: number;
  /** Runs while this process is the leader; its signal aborts when leadership ends. */
  runAsLeader: (leadership: Leadership, signal: AbortSignal) => Promise<void>;
  signal: AbortSignal;
}

/** Fraction of the lease kept as a margin for clock drift between this process and the service. */
const EXPIRY_MARGIN_FRACTION = 0.1;

/** Lease that backs the leadership. */
interface LeaderLease {
  lease: string;
  validUntilMs: number;
}

function computeValidUntilMs(sentAtMs: number, leaseSeconds: number): number {
  return sentAtMs + leaseSeconds * MILLISECONDS_PER_SECOND * (1 - EXPIRY_MARGIN_FRACTION);
}

async function tryAcquireLeadership(
  options: LeaderElectionOptions,
): Promise<LeaderLease | undefined> {
  const { service, clock, key, host, leaseSeconds } = options;
  if ((await service.get(key)) !== undefined) return undefined;
  const sentAtMs = clock.monotonicMs();
  const lease = await service.grantLease(leaseSeconds);
  const value = JSON.stringify({ host, id: randomUUID() });
  try {
    const swap = await service.compareAndSwap(key, 0, value, { lease });
    if (swap.swapped) return { lease, validUntilMs: computeValidUntilMs(sentAtMs, leaseSeconds) };
  } catch {
    // The response was lost; the stored value shows whether the write took effect.
    const entry = await service.get(key);
    if (entry?.value === value)
      return { lease, validUntilMs: computeValidUntilMs(sentAtMs, leaseSeconds) };
  }
  await service.releaseLease(lease);
  return undefined;
}

async function renewLeadership(
  options: LeaderElectionOptions,
  leaderLease: LeaderLease,
  signal: AbortSignal,
): Promise<void> {
  const { service, clock, leaseSeconds } = options;
  const renewIntervalMs = (leaseSeconds * MILLISECONDS_PER_SECOND) / 4;
  while (!signal.aborted && clock.monotonicMs() < leaderLease.validUntilMs) {
    await wait(renewIntervalMs, undefined, { signal }).catch(() => undefined);
    if (isAborted(signal)) return;
    const sentAtMs = clock.monotonicMs();
    const isRenewed = await service.renewLease(leaderLease.lease).catch(() => undefined);
    if (isRenewed === false) return;
    if (isRenewed) leaderLease.validUntilMs = computeValidUntilMs(sentAtMs, leaseSeconds);
  }
}

/**
 * Acquires leadership whenever there is no leader, and runs the work while it is held, until the
 * signal aborts.
 */
export async function runLeaderElection(options: LeaderElectionOptions): Promise<void> {
  const { clock, log, runAsLeader, leaseSeconds, signal, service } = options;
  while (!signal.aborted) {
    const leaderLease = await tryAcquireLeadership(options).catch(() => undefined);
    if (leaderLease !== undefined) {
      log.info({}, 'leadership acquired');
      const workAbort = new AbortController();
      const workSignal = AbortSignal.any([signal, workAbort.signal]);
      const isHeld = (): boolean => clock.monotonicMs() < leaderLease.validUntilMs;
      const workDone = runAsLeader({ isHeld }, workSignal).catch((error: unknown) =>
        log.error({ error: formatError(error) }, 'leader work failed'),
      );
      await Promise.race([renewLeadership(options, leaderLease, workSignal), workDone]);
      workAbort.abort();
      await workDone;
      await service.releaseLease(leaderLease.lease).catch(() => undefined);
      log.info({}, 'leadership released');
    }
    const retryIntervalMs = (leaseSeconds * MILLISECONDS_PER_SECOND) / 4;
    await wait(retryIntervalMs, undefined, { signal }).catch(() => undefined);
  }
}
