/** Tells whether a signal has been aborted, at this very moment. */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
