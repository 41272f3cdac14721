import type { BodyProgress } from '../types.js';

const NO_PROGRESS_MS = 1000; // longer than the pauses of callers on working links

/**
 * Chooses the body, or the answer that is not read, to end when the memory is exhausted: among those
 * without progress the one that stands still longest, and of equal ones the largest. Undefined when all
 * make progress. Addresses bodies that hold memory without an end in sight, and clients that do not read.
 */
export function chooseBodyToEnd<T extends Pick<BodyProgress, 'progressAtMs' | 'reservedBytes'>>(
  bodies: Iterable<T>,
  nowMs: number,
): T | undefined {
  let chosen: T | undefined;
  for (const body of bodies) {
    if (nowMs - body.progressAtMs < NO_PROGRESS_MS) continue;
    const isWorse =
      chosen === undefined ||
      body.progressAtMs < chosen.progressAtMs ||
      (body.progressAtMs === chosen.progressAtMs && body.reservedBytes > chosen.reservedBytes);
    if (isWorse) chosen = body;
  }
  return chosen;
}
