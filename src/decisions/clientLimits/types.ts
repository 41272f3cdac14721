/** Limits on what clients may hold of a host. */
export interface ClientLimits {
  /** Memory for bodies, answers that wait for their reader, and the overhead of requests. */
  memoryBytes: number;
  maximumConnections: number;
  /** Requests of one connection that have no complete answer. */
  maximumWaitingRequests: number;
  /** Progress that a body must make over each span. */
  bodyBytesPerSecond: number;
  bodySpanMs: number;
  /** Bytes of a rejected body that are read before the connection is closed. */
  maximumDiscardedBytes: number;
  /** Bodies in very small chunks that are read at the same time. */
  maximumFragmentedBodies: number;
}

/** Memory in use of a budget. */
export interface MemoryUse {
  limitBytes: number;
  usedBytes: number;
  /** The part of `usedBytes` that bodies above the small size have reserved. */
  largeBytes: number;
}

/** A body that is being received. */
export interface BodyProgress {
  receivedBytes: number;
  reservedBytes: number;
  /** Last time at which bytes of the body were known to have arrived, in monotonic milliseconds. */
  progressAtMs: number;
}
