import type { QueuedRequest } from '../types.js';

/**
 * Orders queued requests: by priority, and by their latest start within one. Answers the load of
 * requests with different targets at one host: in the order of arrival, those that could have waited
 * are served in time at the cost of those that could not.
 */
export function compareQueuedRequests(
  one: Pick<QueuedRequest, 'priority' | 'dueAtMs'>,
  other: Pick<QueuedRequest, 'priority' | 'dueAtMs'>,
): number {
  return one.priority - other.priority || one.dueAtMs - other.dueAtMs;
}
