const COLON = 0x3a;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Tells whether complete lines of an event stream hold comments and blank lines only. A server that
 * sends comments keeps its connection open but makes no progress.
 */
export function isOnlyComments(lines: Buffer): boolean {
  let isLineStart = true;
  for (const byte of lines) {
    const isBreak = byte === LINE_FEED || byte === CARRIAGE_RETURN;
    if (isLineStart && !isBreak && byte !== COLON) return false;
    isLineStart = isBreak;
  }
  return true;
}
