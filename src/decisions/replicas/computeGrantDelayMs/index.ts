/** The orders of one engine, which takes one at a time. */
export interface OrderQueueState {
  /** Orders that wait, without the one that is being sent. */
  waiting: number;
  /** Milliseconds since the current order was begun; undefined when there is none. */
  runningMs: number | undefined;
  /** Usual milliseconds from an order to its answer. */
  usualMs: number;
}

const OVERDUE_FACTOR = 4;
const MIN_OVERDUE_MS = 150; // a busy engine or link delays answers by some ten milliseconds

/**
 * Computes the milliseconds until a further order of an engine is expected to be answered. Infinite
 * while the current one is overdue: the time-out and the refresh of the engine's state after it take
 * longer than callers wait. Answers the load of requests for many adapters while engines leave half of
 * their orders unanswered: with a queue without a bound each request waits for the time-outs of all
 * earlier ones, and callers get no answer at all.
 */
export function computeGrantDelayMs({ waiting, runningMs, usualMs }: OrderQueueState): number {
  const queuedMs = (waiting + 1) * usualMs;
  if (runningMs === undefined) return queuedMs;
  const isOverdue = runningMs > Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usualMs);
  return isOverdue ? Infinity : queuedMs + Math.max(0, usualMs - runningMs);
}
