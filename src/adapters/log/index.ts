import bunyan from 'bunyan';
import type { Log, LogFields } from '../../ports/log.js';

/** Levels that the settings accept. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'fatal'] as const;

/** Options of a program's log. */
export interface CreateLogOptions {
  level?: (typeof LOG_LEVELS)[number];
  /** Fields on every record, such as the host. */
  fields?: LogFields;
}

/** Creates a bunyan log of one JSON record a line on standard output. */
export function createLog(name: string, options: CreateLogOptions = {}): Log {
  const { level = 'info', fields = {} } = options;
  const logger = bunyan.createLogger({ name, level, ...fields });
  return {
    info: (record, message) => logger.info(record, message),
    warn: (record, message) => logger.warn(record, message),
    error: (record, message) => logger.error(record, message),
  };
}
