import { formatError } from '../errors/index.js';
import { readSettings, type SettingDefinitions, type SettingValues } from '../settings/index.js';
import { createSignalListener, type SignalListener } from './createSignalListener/index.js';

/** A daemon that has started. */
export interface RunningDaemon {
  /** Performs a planned stop. */
  stop: () => Promise<void>;
  /** Called for SIGHUP; absent where there is nothing to reload. */
  reload?: () => void;
}

/** Options of a daemon. */
export interface DaemonOptions<Definitions extends SettingDefinitions> {
  program: string;
  description: string;
  definitions: Definitions;
  start: (settings: SettingValues<Definitions>) => Promise<RunningDaemon>;
  /** Created when the program began; by default signals are handled from this call on. */
  signals?: SignalListener;
}

/**
 * Runs a daemon until SIGTERM or SIGINT requests a planned stop, then exits with code 0, or 1 on failure. A stop
 * that comes while the daemon starts ends it at once; a SIGHUP is handled once it has started.
 */
export async function runDaemon<Definitions extends SettingDefinitions>(
  options: DaemonOptions<Definitions>,
): Promise<void> {
  const { program, description, definitions, start, signals = createSignalListener() } = options;
  const settings = await readSettings(program, description, definitions);
  let running: RunningDaemon;
  try {
    running = await start(settings);
  } catch (error) {
    process.stderr.write(`${program}: could not start: ${formatError(error)}\n`);
    process.exit(1);
  }
  let isStopping = false;
  signals.setStop(() => {
    if (isStopping) return;
    isStopping = true;
    running.stop().then(
      () => process.exit(0),
      (error: unknown) => {
        process.stderr.write(`${program}: stop failed: ${formatError(error)}\n`);
        process.exit(1);
      },
    );
  });
  signals.setReload(() => running.reload?.());
}
