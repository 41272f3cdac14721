import { AttemptFailure, RetryPolicy } from '../../../ports/serving.js';

/** State of a request after a failed attempt. */
export interface FailedAttempt {
  failure: AttemptFailure;
  retryPolicy: RetryPolicy;
  /** Attempts so far that may have been executed. */
  attemptsRun: number;
  maximumAttempts: number;
  remainingMs: number;
}

const MIN_ATTEMPT_MS = 30; // a round trip to a server and the shortest processing time

/**
 * Checks whether a request may be retried on another server. An attempt that was not executed may
 * always be retried while there is time; one that may have been executed only if the retry policy
 * of the route allows it and attempts are left.
 */
export function mayRetry(failed: FailedAttempt): boolean {
  if (failed.remainingMs < MIN_ATTEMPT_MS) return false;
  if (failed.failure !== AttemptFailure.broken) return true;
  return failed.retryPolicy !== RetryPolicy.once && failed.attemptsRun < failed.maximumAttempts;
}
