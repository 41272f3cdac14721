import { MILLISECONDS_PER_SECOND } from '../constants/index.js';
import type { Bucket, BucketEvent, BucketState, BucketParameters } from '../types.js';

/** Computes the most units that a bucket of this shape holds. */
export function computeCapacity({ burst, slots }: BucketParameters): number {
  return burst * slots * MILLISECONDS_PER_SECOND;
}

/** Moves a point forward in time; a time before the point changes nothing. */
export function refillState(point: BucketState, nowMs: number): BucketState {
  const atMs = Math.max(point.atMs, Math.floor(nowMs));
  const added = point.parameters.rate * point.parameters.slots * (atMs - point.atMs);
  const level = Math.min(computeCapacity(point.parameters), point.level + added);
  return { level, atMs, parameters: point.parameters };
}

/** Applies one event to the point before it. */
export function applyEvent(point: BucketState, event: BucketEvent): BucketState {
  const before = refillState(point, event.atMs);
  const parameters = event.parameters ?? before.parameters;
  const level = Math.min(computeCapacity(parameters), before.level - event.units);
  return { level, atMs: before.atMs, parameters };
}

/** Rebuilds a bucket from its base; settled events before the oldest open charge join the base. */
export function replayEvents(
  base: BucketState,
  events: readonly BucketEvent[],
  limit: number,
): Bucket {
  const firstOpen = events.findIndex(({ pendingChargeId }) => pendingChargeId !== undefined);
  const settledCount = firstOpen === -1 ? events.length : firstOpen;
  const dropped = Math.max(settledCount, events.length - limit);
  const newBase = events.slice(0, dropped).reduce(applyEvent, base);
  const kept = events.slice(dropped);
  return { base: newBase, events: kept, current: kept.reduce(applyEvent, newBase) };
}
