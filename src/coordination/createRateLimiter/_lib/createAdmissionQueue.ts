import type { Clock } from '../../../ports/clock.js';
import {
  RateRefusal,
  type Admission,
  type AdmissionRequest,
  type AdmissionResult,
} from '../types.js';

/** Dependencies of the admission queue of one organisation. */
export interface AdmissionQueueOptions {
  clock: Clock;
  /** Delays the next try. */
  delay: (milliseconds: number) => Promise<void>;
  /** Tries to admit a request; returns the missing units on failure. */
  tryAdmit: (request: AdmissionRequest, units: number) => Promise<Admission | number>;
  /** Computes the time in which the fleet refills the given units. */
  computeRefillMs: (units: number) => number;
}

/** Requests of one organisation that wait for earlier ones or for tokens, in order of arrival. */
export interface AdmissionQueue {
  /** Counts the requests that are not decided yet. */
  count: () => number;
  /** Queues a request for the given units until it is admitted or its deadline has passed. */
  add: (request: AdmissionRequest, units: number) => Promise<AdmissionResult>;
  /** Refuses all queued requests. */
  refuseAll: (reason: RateRefusal) => void;
}

const MIN_RETRY_DELAY_MS = 2;
const MAX_RETRY_DELAY_MS = 100;
/** Queued requests of one organisation that may borrow from peers at the same time. */
const MAX_CONCURRENT_TRIES = 8;

/** A request that waits for earlier requests of its organisation or for tokens. */
interface QueueEntry {
  request: AdmissionRequest;
  units: number;
  /** Whether a try to admit the request is in progress. */
  isActive: boolean;
  /** Earliest time of the next try, on the monotonic clock. */
  retryAtMs: number;
  resolve: (result: AdmissionResult) => void;
}

/** Creates an empty queue, which retries requests that lack tokens until their deadline. */
export function createAdmissionQueue(options: AdmissionQueueOptions): AdmissionQueue {
  const { clock, delay, tryAdmit, computeRefillMs } = options;
  /** Requests in order of arrival. */
  let queue: QueueEntry[] = [];

  const complete = (entry: QueueEntry, result: AdmissionResult): void => {
    queue = queue.filter((other) => other !== entry);
    entry.resolve(result);
  };

  const tryEntry = async (entry: QueueEntry): Promise<void> => {
    const { deadlineAtMs } = entry.request;
    const result = await tryAdmit(entry.request, entry.units);
    entry.isActive = false;
    if (typeof result !== 'number') {
      complete(entry, { admitted: true, admission: result });
      serveQueue();
      return;
    }
    const nowMs = clock.monotonicMs();
    const retryAfterMs = computeRefillMs(result);
    if (nowMs >= deadlineAtMs) {
      complete(entry, {
        admitted: false,
        reason: RateRefusal.rateExceeded,
        retryAfterMs,
      });
      serveQueue();
      return;
    }
    const retryDelayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      deadlineAtMs - nowMs,
      Math.max(MIN_RETRY_DELAY_MS, retryAfterMs),
    );
    entry.retryAtMs = nowMs + retryDelayMs;
    await delay(retryDelayMs);
    // A timer may fire slightly early; without this reset the request would not be tried again.
    entry.retryAtMs = -Infinity;
    serveQueue();
  };

  /** Tries queued requests in order of arrival; one that waits for tokens blocks those behind it. */
  function serveQueue(): void {
    const nowMs = clock.monotonicMs();
    let activeCount = 0;
    for (const entry of [...queue]) {
      if (activeCount >= MAX_CONCURRENT_TRIES || (!entry.isActive && entry.retryAtMs > nowMs))
        return;
      activeCount += 1;
      if (entry.isActive) continue;
      entry.isActive = true;
      void tryEntry(entry);
    }
  }

  return {
    count: () => queue.length,
    add: (request, units) =>
      new Promise((resolve) => {
        queue.push({ request, units, isActive: false, retryAtMs: -Infinity, resolve });
        serveQueue();
      }),
    refuseAll: (reason) => {
      for (const entry of [...queue]) complete(entry, { admitted: false, reason, retryAfterMs: 0 });
    },
  };
}
