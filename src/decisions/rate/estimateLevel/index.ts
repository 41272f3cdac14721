import { computeCapacity } from '../_lib/replayEvents.js';
import type { BucketParameters } from '../types.js';

/** Last reported level of a peer's bucket. */
export interface ReportedLevel {
  units: number;
  /** When the report arrived. */
  atMs: number;
}

/** Estimates the level of a peer's bucket in units: the reported one and the refill since then. */
export function estimateLevel(
  { units, atMs }: ReportedLevel,
  parameters: BucketParameters,
  nowMs: number,
): number {
  const refilled = units + parameters.rate * parameters.slots * (nowMs - atMs);
  return Math.floor(Math.min(computeCapacity(parameters), refilled));
}
