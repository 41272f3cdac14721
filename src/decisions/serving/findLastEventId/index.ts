/** Finds the id of the last of some complete events that has one. */
export function findLastEventId(events: Buffer): string | undefined {
  const text = events.toString('latin1');
  const idLineBreak = text.lastIndexOf('\nid:');
  if (idLineBreak < 0 && !text.startsWith('id:')) return undefined;
  const start = idLineBreak + 1;
  const line = text.slice(start).split(/\r?\n/, 1)[0] ?? '';
  return line.slice('id:'.length).trim();
}
