/** How fast the backlog of a service falls. */
export interface CapacityOptions {
  refusedShare: number;
  /** Backlog above that at which requests are in time, in milliseconds. */
  excessMs: number;
  /** Milliseconds of backlog by which it falls in a second; negative while it grows. */
  fallPerSecond: number;
}

const LOWERED_PER_SECOND = 0.3; // usual fall of a level after a wave, see computeRefusedShare
const MIN_FALL_PER_SECOND = 100; // engines that get a tenth less than they process
const MAX_CAPACITY_MS = 5000; // waves last for a few seconds; nothing is known beyond

/**
 * Computes the milliseconds until a service is likely to have capacity again: the backlog has fallen by
 * then, and the level, which is lowered slowly, lets half of what it refuses in again.
 */
export function computeCapacityMs(options: CapacityOptions): number {
  const { refusedShare, excessMs, fallPerSecond } = options;
  const backlogMs = (1000 * Math.max(0, excessMs)) / Math.max(MIN_FALL_PER_SECOND, fallPerSecond);
  const levelMs = (1000 * refusedShare) / 2 / LOWERED_PER_SECOND;
  return Math.min(MAX_CAPACITY_MS, Math.max(backlogMs, levelMs));
}

/** A caller that is refused. */
export interface AdmissionRetryOptions {
  /** Milliseconds until capacity is likely. */
  capacityInMs: number;
  /** Classes that are more urgent, and all classes. */
  rank: number;
  classCount: number;
  /** Time that the caller has left. */
  remainingMs: number;
  /** Random number in [0, 1). */
  random: number;
}

const MIN_SPREAD_MS = 400; // two rounds, after which the level shows who has returned
const SPREAD_FRACTION = 0.5;
const HONOURED_FRACTION = 1 / 3; // callers return no later than this part of the time they have left
const ROUNDING_MS = 10; // the header has two decimals
const CAPPED_SPREAD_FRACTION = 0.5; // of the honoured time, in which callers return who cannot wait longer

/**
 * Computes the milliseconds after which a refused caller is to return. Answers waves after which all
 * refused callers would return at once: urgent classes return first, and the callers of a class at
 * random times. Callers honour no more than a third of the time they have left; who would have to wait
 * longer returns within the last half of that.
 */
export function computeAdmissionRetryMs(options: AdmissionRetryOptions): number {
  const { capacityInMs, rank, classCount, remainingMs, random } = options;
  const position = Math.min(1, (rank + random) / Math.max(1, classCount));
  const spreadMs = Math.max(MIN_SPREAD_MS, SPREAD_FRACTION * capacityInMs);
  const retryMs = capacityInMs + position * spreadMs;
  const limitMs = Math.max(0, HONOURED_FRACTION * remainingMs - ROUNDING_MS);
  if (retryMs < limitMs) return retryMs;
  // The earliest caller of the spread may still be in time by itself.
  const fromMs = Math.min(capacityInMs, (1 - CAPPED_SPREAD_FRACTION) * limitMs);
  return fromMs + position * (limitMs - fromMs);
}
