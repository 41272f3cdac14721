import { formatError } from '../errors/index.js';
import { readSettings, type SettingDefinitions, type SettingValues } from '../settings/index.js';

/** Options of a daemon. */
export interface DaemonOptions<Definitions extends SettingDefinitions> {
  program: string;
  description: string;
  definitions: Definitions;
  /** Starts the daemon; `stop` performs a planned stop. */
  start: (settings: SettingValues<Definitions>) => Promise<{ stop: () => Promise<void> }>;
}

/** Runs a daemon until SIGTERM or SIGINT requests a planned stop, then exits with code 0, or 1 on failure. */
export async function runDaemon<Definitions extends SettingDefinitions>(
  options: DaemonOptions<Definitions>,
): Promise<void> {
  const { program, description, definitions, start } = options;
  const settings = await readSettings(program, description, definitions);
  let running: { stop: () => Promise<void> };
  try {
    running = await start(settings);
  } catch (error) {
    process.stderr.write(`${program}: could not start: ${formatError(error)}\n`);
    process.exit(1);
  }
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) return;
    isStopping = true;
    running.stop().then(
      () => process.exit(0),
      (error: unknown) => {
        process.stderr.write(`${program}: stop failed: ${formatError(error)}\n`);
        process.exit(1);
      },
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}
