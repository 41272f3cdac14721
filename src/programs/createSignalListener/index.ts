/** The signals to this process, from the moment at which the listener is created. */
export interface SignalListener {
  /** Sets the handler of SIGHUP; it is called at once if a SIGHUP came earlier. */
  setReload: (reload: () => void) => void;
  /** Sets the handler of SIGTERM and SIGINT, which end the process with status 0 until then. */
  setStop: (stop: () => void) => void;
}

/** The parts of `process` that the listener uses. */
export interface SignalSource {
  on: (signal: NodeJS.Signals, listener: () => void) => unknown;
  exit: (status: number) => void;
}

/**
 * Listens for signals. To be created before the first `await` of a program: until there is a handler, a
 * SIGHUP, SIGTERM or SIGINT ends the process by its default action, as if it had crashed.
 */
export function createSignalListener(source: SignalSource = process): SignalListener {
  let reload: (() => void) | undefined;
  let stop = (): void => source.exit(0);
  let isReloadPending = false;
  source.on('SIGHUP', () => {
    if (reload === undefined) isReloadPending = true;
    else reload();
  });
  for (const signal of ['SIGTERM', 'SIGINT'] as const) source.on(signal, () => stop());
  return {
    setReload: (next) => {
      reload = next;
      if (isReloadPending) next();
      isReloadPending = false;
    },
    setStop: (next) => {
      stop = next;
    },
  };
}
