/** Counts the complete events of a server-sent event stream; comments are no events. */
export function countEvents(events: Buffer): number {
  return events
    .toString('latin1')
    .split(/\r?\n\r?\n/)
    .filter((text) => /^(?!:)./m.test(text)).length;
}
