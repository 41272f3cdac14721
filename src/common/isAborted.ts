/**
 * Tells whether a signal is aborted now. TypeScript keeps `signal.aborted` narrowed across an
 * await, but not the result of a call.
 */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
