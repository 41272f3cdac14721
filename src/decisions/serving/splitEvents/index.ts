/** Bytes of a stream split behind its last whole event. */
export interface SplitEvents {
  whole: Buffer;
  rest: Buffer;
  /** Id of the last whole event that has one. */
  lastEventId?: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Finds the end of the last blank line. */
function findLastEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    if (bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED) return index + 1;
  }
  return 0;
}

/** Splits the bytes of an event stream behind the last whole event. */
export function splitEvents(bytes: Buffer): SplitEvents {
  const end = findLastEnd(bytes);
  const whole = bytes.subarray(0, end);
  const rest = bytes.subarray(end);
  const text = whole.toString('latin1');
  const inner = text.lastIndexOf('\nid:');
  if (inner < 0 && !text.startsWith('id:')) return { whole, rest };
  const start = inner + 1;
  const line = text.slice(start).split(/\r?\n/, 1)[0] ?? '';
  return { whole, rest, lastEventId: line.slice('id:'.length).trim() };
}
