import { SLOT_COUNT } from '../../rate/constants/index.js';

/** Counts the slots that each of so many live hosts should hold at most. */
export function countFairSlots(liveHosts: number): number {
  return Math.ceil(SLOT_COUNT / Math.max(1, liveHosts));
}
