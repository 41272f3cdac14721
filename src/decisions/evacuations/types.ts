/** An evacuated data centre, to whose servers nothing is sent. */
export interface Evacuation {
  /** Revision at which the store accepted its key. */
  revision: number;
  /**
   * Monotonic time until which operators may write the key again, as it is missing in a store that was
   * restored from a copy; undefined while the key is present.
   */
  awaitedUntilMs?: number;
}

/** The evacuated data centres as of one revision of the store. */
export interface EvacuationState {
  revision: number;
  evacuations: ReadonlyMap<string, Evacuation>;
}

/** What was read of the evacuated data centres, from the store or from a leader. */
export interface EvacuationRead {
  /** Revision of the store up to which it is complete. */
  revision: number;
  /** Evacuated data centres; with `isSnapshot` all there are. */
  present: ReadonlyMap<string, Evacuation>;
  /** Data centres whose evacuation was revoked, each with the revision of that. */
  revoked: ReadonlyMap<string, number>;
  isSnapshot: boolean;
}
