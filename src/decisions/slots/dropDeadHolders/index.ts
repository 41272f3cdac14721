import type { SlotAllocation, SlotHolder } from '../types.js';

/** Frees the slots of holders that are proved dead; their units are lost and refill. */
export function dropDeadHolders(
  shares: SlotAllocation,
  isDead: (holder: SlotHolder) => boolean,
): SlotAllocation {
  const dead = shares.holders.filter(isDead);
  if (dead.length === 0) return shares;
  return {
    ...shares,
    holders: shares.holders.filter((holder) => !dead.includes(holder)),
    freeSlots: dead.reduce((sum, { slots }) => sum + slots, shares.freeSlots),
  };
}
