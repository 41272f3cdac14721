import type { Pause } from '../../common/createPause.js';
import type { Clock } from '../../ports/clock.js';

/** A call that was not answered. */
export interface FailedCall {
  task: string;
  /** Monotonic time at which it was sent. */
  askedAtMs: number;
  /** Whether the task leaves further tries to another one that fails as well. */
  mayWaitForOthers: boolean;
}

/** What the tasks of one host that call the store know of its reachability together. */
export interface StoreOutage {
  /**
   * Records a failed call; tells whether this task tries for all of its host, so that others may wait
   * for it. A task that may not wait for others always does.
   */
  recordFailure: (call: FailedCall) => boolean;
  /** Waits for the milliseconds, at most until the store has answered any call of this host. */
  waitForEnd: (pause: Pause, milliseconds: number, signal: AbortSignal) => Promise<void>;
  /** Records that the store answered a call. */
  recordResponse: () => void;
  /**
   * Milliseconds since the first failure of a call that was sent after the last answer; 0 while there
   * is none.
   */
  getFailingMs: () => number;
  /** Monotonic time of the first answer after the last failed calls; -Infinity when none has failed. */
  getReturnedAtMs: () => number;
}

/** Options of createStoreOutage. */
export interface StoreOutageOptions {
  /** The monotonic clock of the process by default. */
  clock?: Pick<Clock, 'monotonicMs'>;
  /**
   * Milliseconds after which a waiting task tries itself, as its calls alone may be answered, or the
   * task that tries for all may have ended; 10,000 by default.
   */
  maximumWaitMs?: number;
}

/**
 * Creates the state of a store that answers. Answers the load of a store that is down or rejects many
 * hosts: each try is billed and adds to the load of the store, so that one task tries for its host.
 */
export function createStoreOutage(options: StoreOutageOptions = {}): StoreOutage {
  const { clock = { monotonicMs: () => performance.now() }, maximumWaitMs = 10_000 } = options;
  const waiting = new Set<Pause>();
  let triedBy: string | undefined;
  let failingSinceMs: number | undefined;
  let answeredAtMs = -Infinity;
  let returnedAtMs = -Infinity;
  return {
    recordFailure: ({ task, askedAtMs, mayWaitForOthers }) => {
      // A call that was sent into an outage may fail after the end of it.
      if (askedAtMs >= answeredAtMs) failingSinceMs ??= clock.monotonicMs();
      if (!mayWaitForOthers) triedBy = task;
      triedBy ??= task;
      return triedBy === task;
    },
    waitForEnd: async (pause, milliseconds, signal) => {
      const waitedFor = triedBy;
      waiting.add(pause);
      await pause.wait(Math.min(milliseconds, maximumWaitMs), signal);
      waiting.delete(pause);
      if (milliseconds >= maximumWaitMs && triedBy === waitedFor) triedBy = undefined;
    },
    recordResponse: () => {
      triedBy = undefined;
      answeredAtMs = clock.monotonicMs();
      if (failingSinceMs !== undefined) returnedAtMs = answeredAtMs;
      failingSinceMs = undefined;
      for (const pause of [...waiting]) pause.end();
    },
    getFailingMs: () =>
      failingSinceMs === undefined ? 0 : Math.max(0, clock.monotonicMs() - failingSinceMs),
    getReturnedAtMs: () => returnedAtMs,
  };
}
