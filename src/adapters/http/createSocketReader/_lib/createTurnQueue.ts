/** Runs callbacks one by one, each in a turn of the event loop of its own. */
export interface TurnQueue {
  add: (callback: () => void) => void;
}

/** Creates an empty queue; `schedule` calls back in the next turn of the event loop. */
export function createTurnQueue(
  schedule: (callback: () => void) => void = (callback) => setImmediate(callback),
): TurnQueue {
  const waiting = new Set<() => void>();
  const runNext = (): void => {
    const [next] = waiting;
    if (next === undefined) return;
    waiting.delete(next);
    // Scheduled first, as the callback may throw.
    if (waiting.size > 0) schedule(runNext);
    next();
  };
  return {
    add: (callback) => {
      waiting.add(callback);
      if (waiting.size === 1) schedule(runNext);
    },
  };
}
