/** An adapter that is loaded on an engine. */
export interface LoadedAdapter {
  /** As `MODEL/ADAPTER`. */
  name: string;
  /** Monotonic time of the last request for it. */
  lastRequestedAtMs: number;
  isInUse: boolean;
}

const MIN_RESIDENCY_MS = 250; // until then the requests for which it was loaded may not have arrived

/**
 * Chooses the adapter to evict: the least recently requested one that is not in use and was not
 * requested within MIN_RESIDENCY_MS.
 */
export function chooseAdapterToEvict<Adapter extends LoadedAdapter>(
  loaded: readonly Adapter[],
  nowMs: number,
): Adapter | undefined {
  let victim: Adapter | undefined;
  for (const adapter of loaded) {
    if (adapter.isInUse || nowMs - adapter.lastRequestedAtMs < MIN_RESIDENCY_MS) continue;
    if (victim === undefined || adapter.lastRequestedAtMs < victim.lastRequestedAtMs)
      victim = adapter;
  }
  return victim;
}
