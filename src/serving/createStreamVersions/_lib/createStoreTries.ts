import type { Clock } from '../../../ports/clock.js';
import type { StoreOutage } from '../../createStoreOutage/index.js';

const TRY_INTERVAL_MS = 2000; // between the calls of a host to a store that is away, which are billed

/**
 * Creates a function that tells whether the store may be asked: always while it answers, and now and then
 * while it is away, as a host that follows the leader makes no other call that would tell of its return.
 */
export function createStoreTries(
  clock: Pick<Clock, 'monotonicMs'>,
  outage: Pick<StoreOutage, 'getFailingMs'>,
): () => boolean {
  let triedAtMs = -Infinity;
  return () => {
    const failingMs = outage.getFailingMs();
    if (failingMs === 0) return true;
    const nowMs = clock.monotonicMs();
    if (Math.min(failingMs, nowMs - triedAtMs) < TRY_INTERVAL_MS) return false;
    triedAtMs = nowMs;
    return true;
  };
}
