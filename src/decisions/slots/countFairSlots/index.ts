import { SLOT_COUNT } from '../../rate/constants/index.js';

/** Computes the fair share of a host: the most slots that each of `liveHosts` hosts should hold. */
export function countFairSlots(liveHosts: number): number {
  return Math.ceil(SLOT_COUNT / Math.max(1, liveHosts));
}
