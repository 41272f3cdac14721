/** A host that holds slots of every organisation's rate and burst. */
export interface SlotHolder {
  /** Id of the host. */
  host: string;
  /** Peer address and port; a new incarnation there proves that the old one has ended. */
  endpoint: string;
  /** One run of the process. */
  incarnation: string;
  slots: number;
}

/** Who holds which slots; slots of one holder are alike, so that a number is enough. */
export interface SlotAllocation {
  holders: SlotHolder[];
  freeSlots: number;
  /** Units that came back with the free slots, by organisation. */
  freeUnits: Record<string, number>;
}

/** What a host receives with slots. */
export interface TakenSlots {
  shares: SlotAllocation;
  slots: number;
  /** Units that come with the slots, by organisation. */
  units: Record<string, number>;
}
