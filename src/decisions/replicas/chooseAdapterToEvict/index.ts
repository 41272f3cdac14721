/** An adapter that an engine holds. */
export interface LoadedAdapter {
  /** As `MODEL/ADAPTER`. */
  name: string;
  /** When it was last asked for, in monotonic milliseconds. */
  lastRequestedAtMs: number;
  isInUse: boolean;
}

const LEAST_STAY_MS = 250; // the requests for which it was loaded are on their way until then

/** Chooses the adapter that makes room: the one that nobody uses and that was asked for longest ago. */
export function chooseAdapterToEvict<Held extends LoadedAdapter>(
  held: readonly Held[],
  nowMs: number,
): Held | undefined {
  let victim: Held | undefined;
  for (const adapter of held) {
    if (adapter.isInUse || nowMs - adapter.lastRequestedAtMs < LEAST_STAY_MS) continue;
    if (victim === undefined || adapter.lastRequestedAtMs < victim.lastRequestedAtMs)
      victim = adapter;
  }
  return victim;
}
