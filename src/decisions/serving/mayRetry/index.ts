import { AttemptFailure, RetryPolicy } from '../../../ports/serving.js';

/** What is known of a request when an attempt has failed. */
export interface FailedAttempt {
  failure: AttemptFailure;
  retryPolicy: RetryPolicy;
  /** Attempts so far that may have run. */
  attemptsRun: number;
  maximumAttempts: number;
  remainingMs: number;
}

const LEAST_USEFUL_MS = 30; // a round trip to a server and the shortest work there

/**
 * Decides whether a request may go to another server. An attempt that did not run may always be
 * repeated; one that may have run only when the route allows it and attempts are left.
 */
export function mayRetry(failed: FailedAttempt): boolean {
  if (failed.remainingMs < LEAST_USEFUL_MS) return false;
  if (failed.failure !== AttemptFailure.broken) return true;
  return failed.retryPolicy !== RetryPolicy.once && failed.attemptsRun < failed.maximumAttempts;
}
