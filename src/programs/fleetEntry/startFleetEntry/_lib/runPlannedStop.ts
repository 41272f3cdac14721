import { setTimeout as wait } from 'node:timers/promises';
import type { Clock } from '../../../../ports/clock.js';
import type { Log } from '../../../../ports/log.js';
import type { CallerListener } from '../../../../ports/serving.js';

/** What a planned stop of a host consists of. */
export interface PlannedStopOptions {
  clock: Clock;
  log: Log;
  callerListener: CallerListener;
  /** Maximum duration of the stop. */
  gracePeriodMs: number;
  /** Leaves the fleet. */
  leave: () => Promise<void>;
  /** Sets the monotonic time after which nothing is sent to servers any more. */
  setLastSendAtMs: (atMs: number) => void;
  /** Ends the tasks and connections of the host. */
  close: () => Promise<void>;
}

/** The load balancer checks every second and removes a host from the rotation after two failed checks. */
const STOP_LISTENING_AFTER_MS = 2500;
/** Later requests come from callers that still use this host although it left the rotation some time ago. */
const REJECT_AFTER_MS = 2700;
/** Part of the grace period that is kept for closing connections and the store. */
const GRACE_PERIOD_MARGIN_MS = 700;
/** A request that is sent later is likely to run when the host stops. */
const LAST_SEND_MARGIN_MS = 2000;
const LAST_SEND_FRACTION = 0.25; // of the grace period, where that is short
const DRAIN_POLL_INTERVAL_MS = 50;

/**
 * Stops a host: leaves the fleet, serves until the load balancer has noticed, rejects what comes later,
 * and lets active requests finish until shortly before the grace period ends.
 */
export async function runPlannedStop(options: PlannedStopOptions): Promise<void> {
  const { clock, log, callerListener, gracePeriodMs } = options;
  const startedAtMs = clock.monotonicMs();
  const endAtMs = startedAtMs + gracePeriodMs - GRACE_PERIOD_MARGIN_MS;
  options.setLastSendAtMs(
    endAtMs - Math.min(LAST_SEND_MARGIN_MS, LAST_SEND_FRACTION * gracePeriodMs),
  );
  log.info({ active: callerListener.countActive() }, 'planned stop started');
  callerListener.startDraining();
  await options.leave();
  await wait(STOP_LISTENING_AFTER_MS);
  callerListener.stopListening();
  await wait(REJECT_AFTER_MS - STOP_LISTENING_AFTER_MS);
  callerListener.startRejecting();
  while (callerListener.countActive() > 0 && clock.monotonicMs() < endAtMs)
    await wait(DRAIN_POLL_INTERVAL_MS);
  await options.close();
  log.info(
    {
      active: callerListener.countActive(),
      tookMs: Math.round(clock.monotonicMs() - startedAtMs),
    },
    'planned stop finished',
  );
}
