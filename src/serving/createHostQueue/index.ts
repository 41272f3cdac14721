import { compareQueuedRequests } from '../../decisions/hostQueue/compareQueuedRequests/index.js';
import type { QueuedRequest } from '../../decisions/hostQueue/types.js';
import type { Clock } from '../../ports/clock.js';

/** Why a request is in the queue no longer. */
export const QueueEnd = {
  /** A server may be below its limit now. */
  released: 'released',
  /** What it waits for has changed, such as that this host stops. */
  changed: 'changed',
  /** It would be late from now on. */
  overdue: 'overdue',
  /** The queue is full of requests that come before it. */
  displaced: 'displaced',
  callerLeft: 'callerLeft',
} as const;
export type QueueEnd = (typeof QueueEnd)[keyof typeof QueueEnd];

/** Requests that wait at this host for a server below its limit. */
export interface HostQueue {
  /** Whether requests wait at all. */
  isEnabled: boolean;
  /** Settles when the request leaves the queue; `isReady` tells whether a server is below its limit. */
  wait: (request: QueuedRequest, isReady: () => boolean, signal: AbortSignal) => Promise<QueueEnd>;
  /** Counts the requests with the same key that come before one. */
  countAhead: (request: QueuedRequest) => number;
  /** Releases the first request of each key if a server is below its limit. */
  wake: () => void;
  /** Lets all requests decide again whether they wait. */
  endAll: () => void;
  count: () => number;
}

/** Options of the queue. */
export interface HostQueueOptions {
  clock: Clock;
  /** Most requests that wait; 0 for no queue. */
  maximumLength: number;
}

interface Entry extends QueuedRequest {
  isReady: () => boolean;
  leave: (end: QueueEnd) => void;
}

/** Creates the empty queue of a host. */
export function createHostQueue({ clock, maximumLength }: HostQueueOptions): HostQueue {
  /** In the order in which they are released. */
  let entries: Entry[] = [];
  return {
    isEnabled: maximumLength > 0,
    wait: (request, isReady, signal) =>
      new Promise((resolve) => {
        const last = entries[entries.length - 1];
        if (signal.aborted) {
          resolve(QueueEnd.callerLeft);
          return;
        }
        if (entries.length >= maximumLength) {
          if (last === undefined || compareQueuedRequests(request, last) >= 0) {
            resolve(QueueEnd.displaced);
            return;
          }
          last.leave(QueueEnd.displaced);
        }
        const leave = (end: QueueEnd): void => {
          clearTimeout(timer);
          signal.removeEventListener('abort', handleAbort);
          entries = entries.filter((other) => other !== entry);
          resolve(end);
        };
        const handleAbort = (): void => leave(QueueEnd.callerLeft);
        const timer = setTimeout(
          () => leave(QueueEnd.overdue),
          Math.max(0, request.dueAtMs - clock.monotonicMs()),
        );
        const entry: Entry = { ...request, isReady, leave };
        signal.addEventListener('abort', handleAbort, { once: true });
        const index = entries.findIndex((other) => compareQueuedRequests(request, other) < 0);
        entries.splice(index < 0 ? entries.length : index, 0, entry);
      }),
    countAhead: (request) =>
      entries.filter(
        (entry) => entry.key === request.key && compareQueuedRequests(entry, request) <= 0,
      ).length,
    wake: () => {
      const keys = new Set<string>();
      for (const entry of entries) {
        // The next one of a key is released once this one runs, as it may take the last place.
        if (keys.has(entry.key)) continue;
        keys.add(entry.key);
        if (entry.isReady()) entry.leave(QueueEnd.released);
      }
    },
    endAll: () => {
      for (const entry of entries) entry.leave(QueueEnd.changed);
    },
    count: () => entries.length,
  };
}
