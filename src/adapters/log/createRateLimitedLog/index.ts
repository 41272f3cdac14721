import type { Clock } from '../../../ports/clock.js';
import type { Log, LogFields } from '../../../ports/log.js';

/** Options of a bounded log. */
export interface RateLimitedLogOptions {
  log: Log;
  clock: Clock;
  /** Lines a second that are written; errors and warnings have as many again. */
  linesPerSecond: number;
  /** Called for each line that is left out. */
  onOmitted?: () => void;
}

const WINDOW_MS = 1000;

/** Creates a log that leaves out lines above a rate and says how many. */
export function createRateLimitedLog(options: RateLimitedLogOptions): Log {
  const { log, clock, linesPerSecond, onOmitted } = options;
  let startedAtMs = clock.monotonicMs();
  let lines = 0;
  let alerts = 0;
  let omitted = 0;

  const startWindow = (): void => {
    const nowMs = clock.monotonicMs();
    if (nowMs - startedAtMs < WINDOW_MS) return;
    if (omitted > 0)
      log.warn({ omitted, sinceMs: Math.round(nowMs - startedAtMs) }, 'log lines left out');
    startedAtMs = nowMs;
    lines = 0;
    alerts = 0;
    omitted = 0;
  };
  const omit = (): void => {
    omitted += 1;
    onOmitted?.();
  };
  const alert =
    (write: Log['warn']) =>
    (fields: LogFields, message: string): void => {
      startWindow();
      alerts += 1;
      if (alerts <= linesPerSecond) write(fields, message);
      else omit();
    };
  return {
    info: (fields, message) => {
      startWindow();
      lines += 1;
      if (lines <= linesPerSecond) log.info(fields, message);
      else omit();
    },
    warn: alert(log.warn),
    error: alert(log.error),
  };
}
