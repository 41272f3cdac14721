import { MILLISECONDS_PER_SECOND } from '../constants/index.js';
import type { Bucket, BucketEvent, BucketState, BucketParameters } from '../types.js';

/** Computes the capacity in units of a bucket with the given parameters. */
export function computeCapacity({ burst, slots }: BucketParameters): number {
  return burst * slots * MILLISECONDS_PER_SECOND;
}

/** Refills a state up to a time; a time before the state changes nothing. */
export function refillState(state: BucketState, nowMs: number): BucketState {
  const atMs = Math.max(state.atMs, Math.floor(nowMs));
  const added = state.parameters.rate * state.parameters.slots * (atMs - state.atMs);
  const level = Math.min(computeCapacity(state.parameters), state.level + added);
  return { level, atMs, parameters: state.parameters };
}

/** Applies one event to the state before it. */
export function applyEvent(state: BucketState, event: BucketEvent): BucketState {
  const before = refillState(state, event.atMs);
  const parameters = event.parameters ?? before.parameters;
  const level = Math.min(computeCapacity(parameters), before.level - event.units);
  return { level, atMs: before.atMs, parameters };
}

/**
 * Rebuilds a bucket from its base state and events. Events before the oldest unsettled charge are
 * merged into the base, and so are the oldest events in excess of the limit.
 */
export function replayEvents(
  base: BucketState,
  events: readonly BucketEvent[],
  limit: number,
): Bucket {
  const firstPending = events.findIndex(({ pendingChargeId }) => pendingChargeId !== undefined);
  const settledCount = firstPending === -1 ? events.length : firstPending;
  const mergedCount = Math.max(settledCount, events.length - limit);
  const newBase = events.slice(0, mergedCount).reduce(applyEvent, base);
  const kept = events.slice(mergedCount);
  return { base: newBase, events: kept, current: kept.reduce(applyEvent, newBase) };
}
