import type { SlotAllocation } from '../types.js';

/**
 * Releases slots of one holder together with their units. Changes nothing if the holder has fewer
 * slots than that.
 */
export function releaseSlots(
  allocation: SlotAllocation,
  incarnation: string,
  slots: number,
  units: Readonly<Record<string, number>>,
): SlotAllocation {
  const holder = allocation.holders.find((item) => item.incarnation === incarnation);
  if (holder === undefined || holder.slots < slots) return allocation;
  const others = allocation.holders.filter((item) => item !== holder);
  const remainingSlots = holder.slots - slots;
  const freeUnits = { ...allocation.freeUnits };
  for (const [organisation, count] of Object.entries(units))
    freeUnits[organisation] = (freeUnits[organisation] ?? 0) + count;
  return {
    holders: remainingSlots > 0 ? [...others, { ...holder, slots: remainingSlots }] : others,
    freeSlots: allocation.freeSlots + slots,
    freeUnits,
  };
}
