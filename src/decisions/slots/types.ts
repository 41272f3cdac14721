/** A host and how many slots (equal shares of every organisation's rate and burst) it holds. */
export interface SlotHolder {
  /** Host id. */
  host: string;
  /** Peer address and port; a new incarnation at the same endpoint proves that the old one ended. */
  endpoint: string;
  /** Identifies one run of the process. */
  incarnation: string;
  slots: number;
}

/** Allocation of the slots to holders. Slots are interchangeable, so that their number is enough. */
export interface SlotAllocation {
  holders: SlotHolder[];
  freeSlots: number;
  /** Bucket units released with the free slots, by organisation. */
  freeUnits: Record<string, number>;
}

/** Result of takeSlots: the changed allocation, and what the holder received. */
export interface TakenSlots {
  /** The allocation after the slots were taken. */
  shares: SlotAllocation;
  /** Number of slots taken. */
  slots: number;
  /** Bucket units that come with the slots, by organisation. */
  units: Record<string, number>;
}
