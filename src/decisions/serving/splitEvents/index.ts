/** Bytes of an event stream, split after the last complete event. */
export interface SplitEvents {
  /** All complete events. */
  whole: Buffer;
  /** The beginning of an incomplete event. */
  rest: Buffer;
  /** Id of the last complete event that has one. */
  lastEventId?: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Finds the offset after the last blank line, which ends an event; 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    if (bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED) return index + 1;
  }
  return 0;
}

/** Splits the bytes of a server-sent event stream after the last complete event. */
export function splitEvents(bytes: Buffer): SplitEvents {
  const end = findLastEventEnd(bytes);
  const whole = bytes.subarray(0, end);
  const rest = bytes.subarray(end);
  const text = whole.toString('latin1');
  const idLineBreak = text.lastIndexOf('\nid:');
  if (idLineBreak < 0 && !text.startsWith('id:')) return { whole, rest };
  const start = idLineBreak + 1;
  const line = text.slice(start).split(/\r?\n/, 1)[0] ?? '';
  return { whole, rest, lastEventId: line.slice('id:'.length).trim() };
}
