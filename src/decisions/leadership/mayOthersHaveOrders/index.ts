/** The record of the last leader that may have sent orders, as the store has it. */
export interface LastLeader {
  /** Host name; empty without a record. */
  holder: string;
  /** Epoch of the store in which it was written. */
  epoch: number;
}

/** What a new leader knows when it asks whether orders of another one may be in flight. */
export interface HandoverKnowledge {
  self: string;
  /** Epoch of the store now. */
  epoch: number;
  lastLeader: LastLeader;
  /** Last epoch in which this process led until its very end; undefined if there is none. */
  ledUntilEndOf: number | undefined;
  /** Whether the whole fleet starts for the first time, so that no order was sent before. */
  isFirstStart: boolean;
  /** Whether this process has seen the store come back from a copy. */
  hasSeenRestore: boolean;
}

/**
 * Tells whether a new leader has to wait until the orders of another one can no longer take effect. A
 * record of the present epoch decides. One of an earlier epoch does not: a copy may be older than the
 * last leader. Then only the process that led until the restore knows that no other host did.
 */
export function mayOthersHaveOrders(knowledge: HandoverKnowledge): boolean {
  const { self, epoch, lastLeader, ledUntilEndOf } = knowledge;
  const { holder } = lastLeader;
  const isCurrent = lastLeader.epoch === epoch;
  if (isCurrent && holder !== '') return holder !== self;
  if (ledUntilEndOf !== undefined && ledUntilEndOf === epoch - 1) return false;
  if (holder !== '') return true;
  return epoch > 0 && (knowledge.hasSeenRestore || !knowledge.isFirstStart);
}
