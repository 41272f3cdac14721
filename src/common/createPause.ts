/** A wait that another task can end early. */
export interface Pause {
  /** Settles after the milliseconds, on `end`, or when the signal aborts. */
  wait: (milliseconds: number, signal: AbortSignal) => Promise<void>;
  /** Ends all waits; without any it has no effect. */
  end: () => void;
}

/** Creates a pause. */
export function createPause(): Pause {
  const waiting = new Set<() => void>();
  return {
    wait: (milliseconds, signal) =>
      new Promise((resolve) => {
        if (signal.aborted) {
          resolve();
          return;
        }
        const finish = (): void => {
          clearTimeout(timer);
          waiting.delete(finish);
          signal.removeEventListener('abort', finish);
          resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        waiting.add(finish);
        signal.addEventListener('abort', finish, { once: true });
      }),
    end: () => {
      for (const finish of [...waiting]) finish();
    },
  };
}
