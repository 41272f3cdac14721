import { SLOT_COUNT } from '../../rate/constants/index.js';
import type { SlotAllocation, SlotHolder, TakenSlots } from '../types.js';

/** Creates an allocation in which all slots are free. */
export function createSlotAllocation(): SlotAllocation {
  return { holders: [], freeSlots: SLOT_COUNT, freeUnits: {} };
}

/** Takes up to `wanted` free slots for a holder, with their proportional part of the free units. */
export function takeSlots(
  allocation: SlotAllocation,
  holder: Omit<SlotHolder, 'slots'>,
  wanted: number,
): TakenSlots {
  const slots = Math.max(0, Math.min(wanted, allocation.freeSlots));
  if (slots === 0) return { shares: allocation, slots: 0, units: {} };
  const units: Record<string, number> = {};
  const freeUnits: Record<string, number> = {};
  for (const [organisation, free] of Object.entries(allocation.freeUnits)) {
    const part = Math.floor((free * slots) / allocation.freeSlots);
    units[organisation] = part;
    freeUnits[organisation] = free - part;
  }
  const heldSlots =
    allocation.holders.find(({ incarnation }) => incarnation === holder.incarnation)?.slots ?? 0;
  const others = allocation.holders.filter(({ incarnation }) => incarnation !== holder.incarnation);
  const holders = [...others, { ...holder, slots: heldSlots + slots }];
  return { shares: { holders, freeSlots: allocation.freeSlots - slots, freeUnits }, slots, units };
}
