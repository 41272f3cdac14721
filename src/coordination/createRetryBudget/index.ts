/** Limits retries to a part of the requests, so that they can't multiply an overload. */
export interface RetryBudget {
  /** Counts a first attempt. */
  recordRequest: () => void;
  /** Takes one retry from the budget; false when it is spent. */
  takeRetry: () => boolean;
}

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries for each request; 0.2 by default. */
  ratio?: number;
  /** Retries that may be saved up; 20 by default. */
  maximumSaved?: number;
}

/** Creates a full retry budget. */
export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
  const { ratio = 0.2, maximumSaved = 20 } = options;
  let saved = maximumSaved;
  return {
    recordRequest: () => {
      saved = Math.min(maximumSaved, saved + ratio);
    },
    takeRetry: () => {
      if (saved < 1) return false;
      saved -= 1;
      return true;
    },
  };
}
