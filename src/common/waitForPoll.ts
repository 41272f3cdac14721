/**
 * Settles once the event loop has polled for input and has run what closes connections. A process that
 * was behind reads a request in one turn and the end of its connection in the next one.
 */
export function waitForPoll(): Promise<void> {
  return new Promise((resolve) => {
    // The first callback may run before the next poll, and the second one before connections are closed.
    setImmediate(() => setImmediate(() => setImmediate(resolve)));
  });
}
