import type { FleetMessage } from '../../fleetMessages.js';
import type { AdapterGrant, AdapterRequest } from '../../types.js';

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
  const resolvers = new Map<number, (grant: AdapterGrant | undefined) => void>();
  const pending = new Map<string, Promise<AdapterGrant | undefined>>();
  let nextId = 0;

  const sendRequest = (request: AdapterRequest): Promise<AdapterGrant | undefined> =>
    new Promise((resolve) => {
      nextId += 1;
      const id = nextId;
      const finish = (grant: AdapterGrant | undefined): void => {
        clearTimeout(timer);
        resolvers.delete(id);
        resolve(grant);
      };
      const timer = setTimeout(() => finish(undefined), GRANT_TIMEOUT_MS);
      resolvers.set(id, finish);
      const { model, adapter, servers, missing } = request;
      const message = { id, model, adapter, servers: [...servers], missing: [...missing] };
      if (!send({ type: 'wish', ...message })) finish(undefined);
    });

  return {
    request: (request) => {
      const key = `${request.model}/${request.adapter}`;
      const existing = pending.get(key);
      if (existing !== undefined) return existing;
      const grant = sendRequest(request).finally(() => pending.delete(key));
      pending.set(key, grant);
      return grant;
    },
    settle: ({ id, server, readyInMs }) =>
      resolvers.get(id)?.(server === undefined ? undefined : { server, readyInMs }),
  };
}
