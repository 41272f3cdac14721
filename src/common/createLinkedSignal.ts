/** A signal that aborts with others until it is released. */
export interface LinkedSignal {
  signal: AbortSignal;
  /** Ends the link; to be called once the signal is not needed any more. */
  release: () => void;
}

/**
 * Creates a signal that aborts when one of the given signals does. Unlike AbortSignal.any it leaves
 * nothing behind in a signal that lives as long as the process.
 */
export function createLinkedSignal(sources: readonly AbortSignal[]): LinkedSignal {
  const controller = new AbortController();
  const links = sources.map((source) => ({
    source,
    abort: (): void => controller.abort(source.reason),
  }));
  for (const { source, abort } of links)
    if (source.aborted) abort();
    else source.addEventListener('abort', abort);
  return {
    signal: controller.signal,
    release: () => {
      for (const { source, abort } of links) source.removeEventListener('abort', abort);
    },
  };
}
