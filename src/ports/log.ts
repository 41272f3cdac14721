/** Fields of one log record. */
export type LogFields = Record<string, unknown>;

/** Structured log; no field may contain an API key. */
export interface Log {
  info: (fields: LogFields, message: string) => void;
  warn: (fields: LogFields, message: string) => void;
  error: (fields: LogFields, message: string) => void;
}
