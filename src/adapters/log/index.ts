import bunyan from 'bunyan';
import type { Log, LogFields } from '../../ports/log.js';

/** Log levels that the settings accept. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'fatal'] as const;

/** Options of createLog. */
export interface CreateLogOptions {
  level?: (typeof LOG_LEVELS)[number];
  /** Fields added to every record, such as the host. */
  fields?: LogFields;
}

/** Creates a bunyan log that writes one JSON record per line to standard output. */
export function createLog(name: string, options: CreateLogOptions = {}): Log {
  const { level = 'info', fields = {} } = options;
  const logger = bunyan.createLogger({ name, level, ...fields });
  return {
    info: (record, message) => logger.info(record, message),
    warn: (record, message) => logger.warn(record, message),
    error: (record, message) => logger.error(record, message),
  };
}
