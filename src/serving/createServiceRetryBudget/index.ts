import { DEFAULT_HOST_COUNT } from '../../decisions/serving/computeLocalRateShare/index.js';
import type { Clock } from '../../ports/clock.js';

/** Limits what servers are sent beyond the first attempt of each request. */
export interface ServiceRetryBudget {
  recordRequest: (service: string) => void;
  /** Takes one repeat from the service's budget; false when it is spent. */
  tryTakeRetry: (service: string) => boolean;
  /** Part of the fleet's fixed allowance that this host may use. */
  setHostCount: (hosts: number) => void;
}

/** Options of a budget of repeats. */
export interface ServiceRetryBudgetOptions {
  clock: Clock;
  /** Repeats for each request. */
  ratio: number;
  /** Repeats of all hosts in one window beside the ratio. */
  fixedRetries: number;
  windowMs: number;
}

/** Moments of what was sent for one service, the oldest first. */
interface Account {
  requestsAtMs: number[];
  repeatsAtMs: number[];
}

const SAFE_PART = 0.8; // hosts learn of each other at different moments

function dropBefore(times: number[], atMs: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) <= atMs) count += 1;
  if (count > 0) times.splice(0, count);
}

/**
 * Creates a budget of repeats. Any window that ends with a repeat holds no more than the budget
 * allowed then; requests count for half a window, so that they lie within that window or the one
 * half a window before it.
 */
export function createServiceRetryBudget(options: ServiceRetryBudgetOptions): ServiceRetryBudget {
  const { clock, ratio, fixedRetries, windowMs } = options;
  const accounts = new Map<string, Account>();
  let hosts = DEFAULT_HOST_COUNT;

  const findAccount = (service: string): Account => {
    const nowMs = clock.monotonicMs();
    let account = accounts.get(service);
    if (account === undefined) {
      account = { requestsAtMs: [], repeatsAtMs: [] };
      accounts.set(service, account);
    }
    dropBefore(account.requestsAtMs, nowMs - windowMs / 2);
    dropBefore(account.repeatsAtMs, nowMs - windowMs);
    return account;
  };

  return {
    recordRequest: (service) => {
      findAccount(service).requestsAtMs.push(clock.monotonicMs());
    },
    tryTakeRetry: (service) => {
      const { requestsAtMs, repeatsAtMs } = findAccount(service);
      const allowed = ratio * requestsAtMs.length + (SAFE_PART * fixedRetries) / hosts;
      if (repeatsAtMs.length + 1 > allowed) return false;
      repeatsAtMs.push(clock.monotonicMs());
      return true;
    },
    setHostCount: (count) => {
      hosts = Math.max(1, count);
    },
  };
}
