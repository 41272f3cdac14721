import type { FleetMessage } from '../../fleetMessages.js';
import type { AdapterGrant, AdapterRequest } from '../../types.js';
import { createPendingReplies } from './createPendingReplies.js';

/** Adapter requests to the leader that are not answered yet. */
export interface AdapterRequests {
  /** Undefined when the leader does not answer in time or no engine can load the adapter. */
  request: (request: AdapterRequest) => Promise<AdapterGrant | undefined>;
  /** Settles the request that a grant belongs to. */
  settle: (grant: Extract<FleetMessage, { type: 'grant' }>) => void;
}

const GRANT_TIMEOUT_MS = 700; // one order, one refresh of the engine's state and two messages

/** Creates the adapter requests of a host; concurrent ones for the same adapter are merged. */
export function createAdapterRequests(send: (message: FleetMessage) => boolean): AdapterRequests {
  const replies = createPendingReplies<AdapterGrant>(GRANT_TIMEOUT_MS);
  const pending = new Map<string, Promise<AdapterGrant | undefined>>();
  return {
    request: ({ model, adapter, servers, missing }) => {
      const key = `${model}/${adapter}`;
      const existing = pending.get(key);
      if (existing !== undefined) return existing;
      const message = { model, adapter, servers: [...servers], missing: [...missing] };
      const grant = replies
        .request((id) => send({ type: 'wish', id, ...message }))
        .finally(() => pending.delete(key));
      pending.set(key, grant);
      return grant;
    },
    settle: ({ id, server, readyInMs }) =>
      replies.settle(id, server === undefined ? undefined : { server, readyInMs }),
  };
}
