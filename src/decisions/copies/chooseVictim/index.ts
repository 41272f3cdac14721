/** An adapter that an engine holds. */
export interface HeldAdapter {
  /** As `MODEL/ADAPTER`. */
  name: string;
  /** When it was last asked for, in monotonic milliseconds. */
  wantedAtMs: number;
  isInUse: boolean;
}

const LEAST_STAY_MS = 250; // the requests for which it was loaded are on their way until then

/** Chooses the adapter that makes room: the one that nobody uses and that was asked for longest ago. */
export function chooseVictim<Held extends HeldAdapter>(
  held: readonly Held[],
  nowMs: number,
): Held | undefined {
  let victim: Held | undefined;
  for (const adapter of held) {
    if (adapter.isInUse || nowMs - adapter.wantedAtMs < LEAST_STAY_MS) continue;
    if (victim === undefined || adapter.wantedAtMs < victim.wantedAtMs) victim = adapter;
  }
  return victim;
}
