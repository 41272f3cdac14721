import type { Clock } from '../../ports/clock.js';

/**
 * Limits the retries that are sent to each service beyond the first attempts of requests, over a
 * sliding window.
 */
export interface ServiceRetryBudget {
  /** Counts the first attempt of a request, which earns retries. */
  recordRequest: (service: string) => void;
  /** Takes one retry from the budget of a service; returns false when it is exhausted. */
  tryTakeRetry: (service: string) => boolean;
  /** Sets the number of hosts that share the fixed retries. */
  setHostCount: (hostCount: number) => void;
}

/** Options of a retry budget. */
export interface ServiceRetryBudgetOptions {
  clock: Clock;
  /** Retries allowed per request. */
  ratio: number;
  /** Retries per window that all hosts together may send in addition to the ratio. */
  fixedRetries: number;
  windowMs: number;
}

/** Send times of requests and retries of one service, the oldest first. */
interface ServiceHistory {
  requestsAtMs: number[];
  retriesAtMs: number[];
}

const FIXED_RETRIES_SAFETY_FACTOR = 0.8; // hosts notice changes of the host count at different times

/** Number of hosts that a host assumes until the first view of a leader tells it. */
const STARTING_HOST_COUNT = 8;

function dropExpired(timesMs: number[], expiryMs: number): void {
  let count = 0;
  while (count < timesMs.length && (timesMs[count] ?? 0) <= expiryMs) count += 1;
  if (count > 0) timesMs.splice(0, count);
}

/**
 * Creates a retry budget over a sliding window. Any window that ends with a retry contains no more
 * retries than the budget allowed at that time. Requests count for half a window only, so that the
 * requests behind the last retry of any window lie within it, or within the window that starts half
 * a window earlier.
 */
export function createServiceRetryBudget(options: ServiceRetryBudgetOptions): ServiceRetryBudget {
  const { clock, ratio, fixedRetries, windowMs } = options;
  const histories = new Map<string, ServiceHistory>();
  let hostCount = STARTING_HOST_COUNT;

  const findHistory = (service: string): ServiceHistory => {
    const nowMs = clock.monotonicMs();
    let history = histories.get(service);
    if (history === undefined) {
      history = { requestsAtMs: [], retriesAtMs: [] };
      histories.set(service, history);
    }
    dropExpired(history.requestsAtMs, nowMs - windowMs / 2);
    dropExpired(history.retriesAtMs, nowMs - windowMs);
    return history;
  };

  return {
    recordRequest: (service) => {
      findHistory(service).requestsAtMs.push(clock.monotonicMs());
    },
    tryTakeRetry: (service) => {
      const { requestsAtMs, retriesAtMs } = findHistory(service);
      const allowedRetries =
        ratio * requestsAtMs.length + (FIXED_RETRIES_SAFETY_FACTOR * fixedRetries) / hostCount;
      if (retriesAtMs.length + 1 > allowedRetries) return false;
      retriesAtMs.push(clock.monotonicMs());
      return true;
    },
    setHostCount: (count) => {
      hostCount = Math.max(1, count);
    },
  };
}
