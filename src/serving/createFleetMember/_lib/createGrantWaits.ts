import { setTimeout as wait } from 'node:timers/promises';
import { GRANT_TIMEOUT_MS, type AdapterGrant, type CallerWait } from '../../types.js';

/** Callers of this host that wait for the grants of adapters. */
export interface GrantWaits {
  /**
   * Waits for the grant of an adapter, given as `MODEL/ADAPTER`; undefined when none arrives in time
   * or the caller disconnects. Callers that wait for the same adapter share one request, which
   * `request` sends.
   */
  waitForGrant: (
    adapter: string,
    caller: CallerWait,
    request: (isWanted: () => boolean) => Promise<AdapterGrant | undefined>,
  ) => Promise<AdapterGrant | undefined>;
}

interface SharedRequest {
  grant: Promise<AdapterGrant | undefined>;
  waiting: number;
}

/** Settles with the grant, or with undefined after the wait or when the caller disconnects. */
async function waitWithin(
  grant: Promise<AdapterGrant | undefined>,
  { remainingMs, signal }: CallerWait,
): Promise<AdapterGrant | undefined> {
  const settled = new AbortController();
  const waitMs = Math.max(0, Math.min(GRANT_TIMEOUT_MS, remainingMs));
  const end = wait(waitMs, undefined, {
    signal: AbortSignal.any([signal, settled.signal]),
  }).catch(() => undefined);
  try {
    return await Promise.race([grant, end]);
  } finally {
    settled.abort();
  }
}

/** Creates the waits for grants of one host, which asks the leader or is the leader itself. */
export function createGrantWaits(): GrantWaits {
  const requests = new Map<string, SharedRequest>();
  return {
    waitForGrant: async (adapter, caller, request) => {
      const shared = requests.get(adapter) ?? { grant: Promise.resolve(undefined), waiting: 0 };
      shared.waiting += 1;
      if (!requests.has(adapter)) {
        requests.set(adapter, shared);
        shared.grant = request(() => shared.waiting > 0).finally(() => {
          if (requests.get(adapter) === shared) requests.delete(adapter);
        });
      }
      try {
        return await waitWithin(shared.grant, caller);
      } finally {
        shared.waiting -= 1;
      }
    },
  };
}
