import type { BackendServer } from '../../../ports/serving.js';

/** Tells whether a server has left, or has begun to leave, between two lists of servers. */
export function isLeaveAdded(
  before: ReadonlyMap<string, BackendServer>,
  after: ReadonlyMap<string, BackendServer>,
): boolean {
  return [...before.values()].some(({ id, isLeaving, incarnation }) => {
    const next = after.get(id);
    const hasLeft = next?.incarnation !== incarnation || next.isLeaving;
    return !isLeaving && hasLeft;
  });
}
