/** A connection of a client. */
export interface ClientConnection {
  /** Requests without a complete answer. */
  activeRequests: number;
  /** Requests that began on the connection. */
  requestCount: number;
  /** Opening of the connection or end of its last request, in monotonic milliseconds. */
  idleSinceMs: number;
}

/**
 * Chooses the connection to close when a further one arrives above the limit: one without any request
 * before an idle one, and the oldest of them. Undefined when each has a request; the new one is then
 * closed. Addresses clients that open thousands of connections and send nothing or half a head.
 */
export function chooseConnectionToClose<T extends ClientConnection>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  for (const connection of connections) {
    if (connection.activeRequests > 0) continue;
    const isUnused = connection.requestCount === 0;
    const isChosenUnused = chosen?.requestCount === 0;
    const isBetter =
      chosen === undefined ||
      (isUnused !== isChosenUnused ? isUnused : connection.idleSinceMs < chosen.idleSinceMs);
    if (isBetter) chosen = connection;
  }
  return chosen;
}
