/** A request for a model that no engine has loaded. */
export interface MissingModelRequest {
  /** Estimated milliseconds until the model is loaded. */
  expectedMs: number;
  /** Milliseconds for which the caller waits for the response to begin. */
  patienceMs: number;
}

const FIRST_TOKEN_MS = 300; // a long prompt is processed in a quarter of a second
const MAX_OVERRUN_FACTOR = 1.5; // loads slow each other down, and an unload may wait for a stream
const MIN_OVERRUN_MS = 300;

/**
 * Computes how many milliseconds a request waits at this host for its model; 0 when it is to be
 * refused at once, because the model would come too late for the caller. Answers the load of rare
 * models that are asked for once in a while, and of demand that moves to a model within a second:
 * callers return only once, so that a refusal with a Retry-After serves fewer of them than a wait
 * that they can afford.
 */
export function computeModelWaitMs({ expectedMs, patienceMs }: MissingModelRequest): number {
  const usableMs = patienceMs - FIRST_TOKEN_MS;
  if (expectedMs > usableMs) return 0;
  return Math.min(usableMs, Math.max(MAX_OVERRUN_FACTOR * expectedMs, expectedMs + MIN_OVERRUN_MS));
}
