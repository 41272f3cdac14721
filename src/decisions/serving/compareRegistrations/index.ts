import type { BackendServer } from '../../../ports/serving.js';

/**
 * Compares two registrations under one id by the moment at which the server wrote them: negative if the
 * first is the earlier one. A later start goes before a later renewal; 0 where neither tells.
 */
export function compareRegistrations(one: BackendServer, other: BackendServer): number {
  const { startedAtMs: start = 0, renewals = 0 } = one;
  const { startedAtMs: otherStart = 0, renewals: otherRenewals = 0 } = other;
  if (start !== otherStart) return start - otherStart;
  return one.incarnation === other.incarnation ? renewals - otherRenewals : 0;
}
