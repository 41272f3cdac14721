/** State of an attempt whose server has sent nothing for a while. */
export interface SilentAttempt {
  /** Milliseconds since the last bytes of this attempt. */
  silentMs: number;
  /** Whether the caller has the head of the response already. */
  isHeadSent: boolean;
  /** Whether the server sends nothing to any other request of this host either. */
  isServerSilent: boolean;
  /** Latency target of the route in milliseconds. */
  latencyTargetMs: number;
  isStream: boolean;
}

const MIN_SILENCE_MS = 400; // longer than nearly all requests to plain services take
const STREAM_SILENCE_MS = 1500; // the longest prompt is processed in a quarter of a second
const SILENCE_LATENCY_TARGETS = 2; // a response later than this is of little use to the caller

/**
 * Checks whether an attempt may be given up for another one on another server. A response that has
 * begun is given up only if its server is silent to all requests: a busy engine preempts streams
 * for seconds and continues them, and a second engine would have to process the prompt again.
 * Answers the load of engines that are short of memory, where giving up adds to the overload.
 */
export function mayAbandonAttempt(attempt: SilentAttempt): boolean {
  const { silentMs, isHeadSent, isServerSilent, latencyTargetMs, isStream } = attempt;
  const minimumMs = isStream ? STREAM_SILENCE_MS : MIN_SILENCE_MS;
  if (silentMs < Math.max(minimumMs, SILENCE_LATENCY_TARGETS * latencyTargetMs)) return false;
  return !isHeadSent || isServerSilent;
}
