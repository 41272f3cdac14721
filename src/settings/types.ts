import type { Either } from 'fp-ts/lib/Either.js';

/** One setting: a flag, and an environment variable that counts when the flag is not given. */
export interface SettingDefinition<Value> {
  /** Flag without its dashes. */
  flag: string;
  variable: string;
  description: string;
  /** Text that counts when neither is given; without one the setting is required. */
  fallback?: string;
  /** What the page shows for the kind of value, such as `milliseconds`. */
  unit: string;
  /** Reads the text; on the left what is wrong with it. */
  parse: (text: string) => Either<string, Value>;
}

/** Definitions of a program's settings by name. */
export type SettingDefinitions = Record<string, SettingDefinition<unknown>>;

/** Values of a program's settings. */
export type SettingValues<Definitions extends SettingDefinitions> = {
  [Name in keyof Definitions]: Definitions[Name] extends SettingDefinition<infer Value>
    ? Value
    : never;
};

/** Something wrong with a setting. */
export interface SettingFinding {
  /** Such as `--peer-port (BRONZELANDING_PEER_PORT)`. */
  setting: string;
  message: string;
}
