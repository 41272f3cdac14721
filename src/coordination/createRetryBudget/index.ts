/**
 * Limits the retries of one host to a fraction of its requests, so that they cannot amplify an
 * overload. Used by the entry program (startEntry); startFleetEntry uses ServiceRetryBudget.
 */
export interface RetryBudget {
  /** Records a first attempt, which adds to the budget. */
  recordRequest: () => void;
  /** Takes one retry from the budget; false when it is exhausted. */
  takeRetry: () => boolean;
}

/** Retries that each request adds to the budget of a host, and the maximum that it holds. */
export interface RetryBudgetOptions {
  /** Retries added per request; 0.2 by default. */
  ratio?: number;
  /** Maximum retries that the budget accumulates; 20 by default. */
  maximumRetries?: number;
}

/** Creates a retry budget that is full at the start. */
export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
  const { ratio = 0.2, maximumRetries = 20 } = options;
  let available = maximumRetries;
  return {
    recordRequest: () => {
      available = Math.min(maximumRetries, available + ratio);
    },
    takeRetry: () => {
      if (available < 1) return false;
      available -= 1;
      return true;
    },
  };
}
