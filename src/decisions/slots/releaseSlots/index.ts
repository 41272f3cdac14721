import type { SlotAllocation } from '../types.js';

/** Gives slots of one holder back with their units; more than it holds is not given back. */
export function releaseSlots(
  shares: SlotAllocation,
  incarnation: string,
  slots: number,
  units: Readonly<Record<string, number>>,
): SlotAllocation {
  const holder = shares.holders.find((item) => item.incarnation === incarnation);
  if (holder === undefined || holder.slots < slots) return shares;
  const others = shares.holders.filter((item) => item !== holder);
  const left = holder.slots - slots;
  const freeUnits = { ...shares.freeUnits };
  for (const [organisation, count] of Object.entries(units))
    freeUnits[organisation] = (freeUnits[organisation] ?? 0) + count;
  return {
    holders: left > 0 ? [...others, { ...holder, slots: left }] : others,
    freeSlots: shares.freeSlots + slots,
    freeUnits,
  };
}
