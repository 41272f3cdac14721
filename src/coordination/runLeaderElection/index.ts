import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { isAborted } from '../../common/isAborted.js';
import { MILLISECONDS_PER_SECOND } from '../../decisions/rate/constants/index.js';
import { formatError } from '../../errors/index.js';
import type { Clock } from '../../ports/clock.js';
import type { KeyValueService } from '../../ports/keyValueService.js';
import type { Log } from '../../ports/log.js';

/** The right to act alone, as far as this process can know. */
export interface Leadership {
  /** False from the moment the lease may have lapsed; to be asked right before each act. */
  isHeld: () => boolean;
}

/** What keeping the lead needs. */
export interface LeaderElectionOptions {
  service: KeyValueService;
  clock: Clock;
  log: Log;
  /** Key that the leader holds. */
  key: string;
  host: string;
  leaseSeconds: number;
  /** Runs while this process leads, until its signal aborts. */
  runAsLeader: (leadership: Leadership, signal: AbortSignal) => Promise<void>;
  signal: AbortSignal;
}

/** Part of the lease that is left as a margin for the service's own clock. */
const MARGIN_PART = 0.1;

interface Lead {
  lease: string;
  validUntilMs: number;
}

function computeValidUntil(sentAtMs: number, leaseSeconds: number): number {
  return sentAtMs + leaseSeconds * MILLISECONDS_PER_SECOND * (1 - MARGIN_PART);
}

async function takeLead(options: LeaderElectionOptions): Promise<Lead | undefined> {
  const { service, clock, key, host, leaseSeconds } = options;
  if ((await service.get(key)) !== undefined) return undefined;
  const sentAtMs = clock.monotonicMs();
  const lease = await service.grantLease(leaseSeconds);
  const value = JSON.stringify({ host, id: randomUUID() });
  try {
    const swap = await service.compareAndSwap(key, 0, value, { lease });
    if (swap.swapped) return { lease, validUntilMs: computeValidUntil(sentAtMs, leaseSeconds) };
  } catch {
    // The answer was lost: the value that stands now tells who leads.
    const entry = await service.get(key);
    if (entry?.value === value)
      return { lease, validUntilMs: computeValidUntil(sentAtMs, leaseSeconds) };
  }
  await service.releaseLease(lease);
  return undefined;
}

async function renewLead(
  options: LeaderElectionOptions,
  lead: Lead,
  signal: AbortSignal,
): Promise<void> {
  const { service, clock, leaseSeconds } = options;
  const pauseMs = (leaseSeconds * MILLISECONDS_PER_SECOND) / 4;
  while (!signal.aborted && clock.monotonicMs() < lead.validUntilMs) {
    await wait(pauseMs, undefined, { signal }).catch(() => undefined);
    if (isAborted(signal)) return;
    const sentAtMs = clock.monotonicMs();
    const isRenewed = await service.renewLease(lead.lease).catch(() => undefined);
    if (isRenewed === false) return;
    if (isRenewed) lead.validUntilMs = computeValidUntil(sentAtMs, leaseSeconds);
  }
}

/** Takes the lead whenever it is free and runs the given work while it is held, until the signal aborts. */
export async function runLeaderElection(options: LeaderElectionOptions): Promise<void> {
  const { clock, log, runAsLeader: runLead, leaseSeconds, signal, service } = options;
  while (!signal.aborted) {
    const taken = await takeLead(options).catch(() => undefined);
    if (taken !== undefined) {
      log.info({}, 'lead taken');
      const work = new AbortController();
      const stop = AbortSignal.any([signal, work.signal]);
      const isHeld = (): boolean => clock.monotonicMs() < taken.validUntilMs;
      const working = runLead({ isHeld }, stop).catch((error: unknown) =>
        log.error({ error: formatError(error) }, 'work of the lead failed'),
      );
      await Promise.race([renewLead(options, taken, stop), working]);
      work.abort();
      await working;
      await service.releaseLease(taken.lease).catch(() => undefined);
      log.info({}, 'lead given up');
    }
    const pauseMs = (leaseSeconds * MILLISECONDS_PER_SECOND) / 4;
    await wait(pauseMs, undefined, { signal }).catch(() => undefined);
  }
}
