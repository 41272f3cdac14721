import type { FleetMessage } from '../../fleetMessages.js';
import type { AdapterGrant, AdapterRequest } from '../../types.js';
import { GRANT_TIMEOUT_MS } from '../../types.js';
import { createPendingReplies } from './createPendingReplies.js';

/** Adapter requests to the leader that are not answered yet. */
export interface AdapterRequests {
  /** Undefined when the leader does not answer in time or no engine can load the adapter. */
  request: (request: AdapterRequest) => Promise<AdapterGrant | undefined>;
  /** Settles the request that a grant belongs to. */
  settle: (grant: Extract<FleetMessage, { type: 'grant' }>) => void;
}

/** Creates the adapter requests of a host. */
export function createAdapterRequests(send: (message: FleetMessage) => boolean): AdapterRequests {
  const replies = createPendingReplies<AdapterGrant>(GRANT_TIMEOUT_MS);
  return {
    request: ({ model, adapter, servers, missing }) => {
      const message = { model, adapter, servers: [...servers], missing: [...missing] };
      return replies.request((id) => send({ type: 'wish', id, ...message }));
    },
    settle: ({ id, server, readyInMs }) =>
      replies.settle(id, server === undefined ? undefined : { server, readyInMs }),
  };
}
