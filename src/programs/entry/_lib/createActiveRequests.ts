/** A request that has started and not yet ended. */
export interface ActiveRequest {
  /** Omitted on open routes, which need no key. */
  keyDigest?: string;
  /** Aborts the request, if it can be aborted, because its key was withdrawn. */
  endForWithdrawnKey: () => void;
}

/** Requests of this host that have started and not yet ended. */
export interface ActiveRequests {
  /** Adds a request and returns the function that removes it. */
  add: (request: ActiveRequest) => () => void;
  count: () => number;
  /** Calls `endForWithdrawnKey` of the requests for whose key the given function returns false. */
  endWithdrawn: (isKnown: (keyDigest: string) => boolean) => void;
  /** Resolves when no request is left. */
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
