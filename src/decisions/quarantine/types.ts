/** A server that broke its connections, and what it had not begun to answer at that moment. */
export interface ServerCrash {
  /** Incarnation of the server. */
  server: string;
  /** Monotonic milliseconds. */
  atMs: number;
  /** Shared prompt parts of the requests that it had not begun to answer. */
  parts: ReadonlySet<string>;
}

/**
 * Prompt parts that were together in several crashes. A request is affected only if it holds all of
 * them, so that requests with some of them go on to show which part it is.
 */
export interface PartGroup {
  parts: readonly string[];
  /** Servers that crashed with these parts. */
  crashes: number;
  lastCrashAtMs: number;
  /** Whether a request with one of the parts was ever answered. */
  wasServed: boolean;
}
