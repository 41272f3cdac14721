import { MILLISECONDS_PER_SECOND } from '../constants/index.js';
import type { Bucket, BucketEvent, BucketPoint, BucketShape } from '../types.js';

/** Computes the most units that a bucket of this shape holds. */
export function computeCapacity({ burst, slots }: BucketShape): number {
  return burst * slots * MILLISECONDS_PER_SECOND;
}

/** Moves a point forward in time; a time before the point changes nothing. */
export function refillPoint(point: BucketPoint, nowMs: number): BucketPoint {
  const atMs = Math.max(point.atMs, Math.floor(nowMs));
  const added = point.shape.rate * point.shape.slots * (atMs - point.atMs);
  const level = Math.min(computeCapacity(point.shape), point.level + added);
  return { level, atMs, shape: point.shape };
}

/** Applies one event to the point before it. */
export function applyEvent(point: BucketPoint, event: BucketEvent): BucketPoint {
  const before = refillPoint(point, event.atMs);
  const shape = event.shape ?? before.shape;
  const level = Math.min(computeCapacity(shape), before.level - event.units);
  return { level, atMs: before.atMs, shape };
}

/** Rebuilds a bucket from its base; settled events before the oldest open charge join the base. */
export function replayEvents(
  base: BucketPoint,
  events: readonly BucketEvent[],
  limit: number,
): Bucket {
  const firstOpen = events.findIndex(({ openId }) => openId !== undefined);
  const settledCount = firstOpen === -1 ? events.length : firstOpen;
  const dropped = Math.max(settledCount, events.length - limit);
  const newBase = events.slice(0, dropped).reduce(applyEvent, base);
  const kept = events.slice(dropped);
  return { base: newBase, events: kept, current: kept.reduce(applyEvent, newBase) };
}
