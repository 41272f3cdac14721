import type { Either } from 'fp-ts/lib/Either.js';

/** One setting: a flag, and an environment variable that is used when the flag is not given. */
export interface SettingDefinition<Value> {
  /** Flag without leading dashes. */
  flag: string;
  variable: string;
  description: string;
  /** Default when neither is given; a setting without a default is required. */
  fallback?: string;
  /** Kind of value in docs/settings.md, such as `milliseconds`. */
  unit: string;
  /** Parses the text; returns the error on the left. */
  parse: (text: string) => Either<string, Value>;
}

/** Definitions of a program's settings, by name. */
export type SettingDefinitions = Record<string, SettingDefinition<unknown>>;

/** Values of a program's settings, by name. */
export type SettingValues<Definitions extends SettingDefinitions> = {
  [Name in keyof Definitions]: Definitions[Name] extends SettingDefinition<infer Value>
    ? Value
    : never;
};

/** A problem with a setting. */
export interface SettingFinding {
  /** Flag and environment variable, such as `--peer-port (BRONZELANDING_PEER_PORT)`. */
  setting: string;
  message: string;
}
