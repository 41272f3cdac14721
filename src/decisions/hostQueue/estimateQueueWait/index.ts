/** A server that could run a queued request. */
export interface QueueServer {
  /** Requests in flight, of all hosts. */
  active: number;
  /** Requests up to which it is below its limit; Infinity without one. */
  limit: number;
  serviceTimeMs: number;
}

/** What a request that is to be queued waits for. */
export interface QueueWaitOptions {
  servers: readonly QueueServer[];
  /** Requests that are before it in the queue of this host. */
  ahead: number;
  /** Hosts of the fleet, which queue about as many requests each. */
  hostCount: number;
}

/**
 * Estimates the milliseconds until a server is below its limit for a request: the ends of requests that
 * are due before, over the rate at which those on the servers end. Answers the load of more callers than
 * the servers run at once: a request whose wait is too long is refused at once, while its caller can
 * still go elsewhere, instead of late.
 */
export function estimateQueueWait({ servers, ahead, hostCount }: QueueWaitOptions): number {
  // A server below its limit in requests is beyond the one in memory, which one end at least relieves.
  const neededEnds = Math.min(
    ...servers.map(({ active, limit }) => Math.max(1, active - limit + 1)),
  );
  const endsPerMs = servers.reduce(
    (sum, { active, serviceTimeMs }) => sum + active / Math.max(1, serviceTimeMs),
    0,
  );
  return endsPerMs > 0 ? (neededEnds + ahead * hostCount) / endsPerMs : 0;
}
