import { mergeRequestLimit } from '../../../decisions/limits/mergeRequestLimit/index.js';
import type { RequestLimit } from '../../../decisions/limits/types.js';
import type { Clock } from '../../../ports/clock.js';

/** Request limits of servers, by incarnation. */
export interface RequestLimits {
  /** Requests per second; Infinity without a limit. */
  get: (incarnation: string) => number;
  getAll: () => ReadonlyMap<string, RequestLimit>;
  /** Records what a response to this host told; returns whether the limit has changed. */
  record: (incarnation: string, limit: RequestLimit) => boolean;
  /** Merges what other hosts know. */
  merge: (limits: ReadonlyMap<string, RequestLimit>) => void;
  /** Returns the limits that `record` has changed since the last call. */
  takeChanged: () => Map<string, RequestLimit>;
  resetTaken: () => void;
  /** Drops limits that have ended or whose servers are gone, some time later. */
  dropObsolete: (registered: ReadonlySet<string>) => void;
}

const MAX_LIMITS = 10_000; // far more than the servers of a fleet
// The end of a limit has reached all hosts by then, and a server whose registration lapsed is back.
const RETENTION_MS = 5000;

/** Creates the request limits of servers, without any limit yet. */
export function createRequestLimits(clock: Clock): RequestLimits {
  const limits = new Map<string, RequestLimit>();
  const changed = new Set<string>();

  const get = (incarnation: string): number => limits.get(incarnation)?.perSecond ?? Infinity;
  const set = (incarnation: string, next: RequestLimit): boolean => {
    const before = get(incarnation);
    const merged = mergeRequestLimit(limits.get(incarnation), next);
    if (merged !== undefined) limits.set(incarnation, merged);
    return get(incarnation) !== before;
  };
  return {
    get,
    getAll: () => limits,
    record: (incarnation, limit) => {
      const isChanged = set(incarnation, limit);
      if (isChanged) changed.add(incarnation);
      return isChanged;
    },
    merge: (others) => {
      for (const [incarnation, limit] of others) set(incarnation, limit);
    },
    takeChanged: () => {
      const taken = new Map<string, RequestLimit>();
      for (const incarnation of changed) {
        const limit = limits.get(incarnation);
        if (limit !== undefined) taken.set(incarnation, limit);
      }
      changed.clear();
      return taken;
    },
    resetTaken: () => {
      for (const incarnation of limits.keys()) changed.add(incarnation);
    },
    dropObsolete: (registered) => {
      const expiryMs = clock.monotonicMs() - RETENTION_MS;
      for (const [incarnation, { perSecond, receivedAtMs }] of limits) {
        const isOver = perSecond === Infinity || !registered.has(incarnation);
        if ((isOver && receivedAtMs < expiryMs) || limits.size > MAX_LIMITS)
          limits.delete(incarnation);
      }
    },
  };
}
