import { SLOT_COUNT } from '../../rate/constants/index.js';
import type { SlotAllocation, SlotHolder, TakenSlots } from '../types.js';

/** Creates the shares of a fleet in which nobody holds a slot yet. */
export function createSlotAllocation(): SlotAllocation {
  return { holders: [], freeSlots: SLOT_COUNT, freeUnits: {} };
}

/** Takes up to the wanted number of free slots, with their part of the units that came back. */
export function takeSlots(
  shares: SlotAllocation,
  taker: Omit<SlotHolder, 'slots'>,
  wanted: number,
): TakenSlots {
  const slots = Math.max(0, Math.min(wanted, shares.freeSlots));
  if (slots === 0) return { shares, slots: 0, units: {} };
  const units: Record<string, number> = {};
  const freeUnits: Record<string, number> = {};
  for (const [organisation, free] of Object.entries(shares.freeUnits)) {
    const part = Math.floor((free * slots) / shares.freeSlots);
    units[organisation] = part;
    freeUnits[organisation] = free - part;
  }
  const held =
    shares.holders.find(({ incarnation }) => incarnation === taker.incarnation)?.slots ?? 0;
  const others = shares.holders.filter(({ incarnation }) => incarnation !== taker.incarnation);
  const holders = [...others, { ...taker, slots: held + slots }];
  return { shares: { holders, freeSlots: shares.freeSlots - slots, freeUnits }, slots, units };
}
