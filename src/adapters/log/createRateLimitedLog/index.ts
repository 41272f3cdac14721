import type { Clock } from '../../../ports/clock.js';
import type { Log, LogFields } from '../../../ports/log.js';

/** Options of a rate-limited log. */
export interface RateLimitedLogOptions {
  log: Log;
  clock: Clock;
  /** Limit for info lines per second; warnings and errors together have a separate limit of the same size. */
  linesPerSecond: number;
  /** Called for each omitted line. */
  onOmitted?: () => void;
}

const WINDOW_MS = 1000;

/** Creates a log that omits lines above a rate and logs how many were omitted. */
export function createRateLimitedLog(options: RateLimitedLogOptions): Log {
  const { log, clock, linesPerSecond, onOmitted } = options;
  let windowStartedAtMs = clock.monotonicMs();
  let infoLines = 0;
  let alertLines = 0;
  let omitted = 0;

  const startWindowIfDue = (): void => {
    const nowMs = clock.monotonicMs();
    if (nowMs - windowStartedAtMs < WINDOW_MS) return;
    if (omitted > 0)
      log.warn({ omitted, sinceMs: Math.round(nowMs - windowStartedAtMs) }, 'log lines left out');
    windowStartedAtMs = nowMs;
    infoLines = 0;
    alertLines = 0;
    omitted = 0;
  };
  const countOmitted = (): void => {
    omitted += 1;
    onOmitted?.();
  };
  const limitAlerts =
    (write: Log['warn']) =>
    (fields: LogFields, message: string): void => {
      startWindowIfDue();
      alertLines += 1;
      if (alertLines <= linesPerSecond) write(fields, message);
      else countOmitted();
    };
  return {
    info: (fields, message) => {
      startWindowIfDue();
      infoLines += 1;
      if (infoLines <= linesPerSecond) log.info(fields, message);
      else countOmitted();
    },
    warn: limitAlerts(log.warn),
    error: limitAlerts(log.error),
  };
}
