import type { SlotAllocation, SlotHolder } from '../types.js';

/**
 * Frees the slots of holders that are known to have ended. The units in their buckets are lost and
 * are refilled over time.
 */
export function dropDeadHolders(
  allocation: SlotAllocation,
  isDead: (holder: SlotHolder) => boolean,
): SlotAllocation {
  const dead = allocation.holders.filter(isDead);
  if (dead.length === 0) return allocation;
  return {
    ...allocation,
    holders: allocation.holders.filter((holder) => !dead.includes(holder)),
    freeSlots: dead.reduce((sum, { slots }) => sum + slots, allocation.freeSlots),
  };
}
