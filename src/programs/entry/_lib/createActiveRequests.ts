/** A request that has begun and not yet ended. */
export interface ActiveRequest {
  /** Left out on open routes. */
  keyDigest?: string;
  /** Ends the request because its key no longer counts. */
  endForWithdrawnKey: () => void;
}

/** Requests of this host that have begun and not yet ended. */
export interface ActiveRequests {
  /** Adds a request and returns what removes it. */
  add: (request: ActiveRequest) => () => void;
  count: () => number;
  /** Ends the requests whose key the given test no longer knows. */
  endWithdrawn: (isKnown: (keyDigest: string) => boolean) => void;
  /** Settles when no request is left. */
  waitUntilEmpty: () => Promise<void>;
}

/** Creates an empty set of active requests. */
export function createActiveRequests(): ActiveRequests {
  const requests = new Set<ActiveRequest>();
  let waiters: (() => void)[] = [];
  return {
    add: (request) => {
      requests.add(request);
      return () => {
        requests.delete(request);
        if (requests.size > 0) return;
        for (const resolve of waiters) resolve();
        waiters = [];
      };
    },
    count: () => requests.size,
    endWithdrawn: (isKnown) => {
      for (const { keyDigest, endForWithdrawnKey } of [...requests])
        if (keyDigest !== undefined && !isKnown(keyDigest)) endForWithdrawnKey();
    },
    waitUntilEmpty: () =>
      requests.size === 0 ? Promise.resolve() : new Promise((resolve) => waiters.push(resolve)),
  };
}
