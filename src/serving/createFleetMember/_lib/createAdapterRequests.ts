import type { FleetMessage } from '../../fleetMessages.js';
import type { AdapterGrant, AdapterRequest } from '../../types.js';

/** Wishes for adapters that the holder of the command has not answered yet. */
export interface AdapterRequests {
  /** Undefined when the holder does not answer in time, or no engine takes the adapter. */
  request: (wish: AdapterRequest) => Promise<AdapterGrant | undefined>;
  settle: (grant: Extract<FleetMessage, { type: 'grant' }>) => void;
}

const GRANT_MS = 700; // an order, one look again at the engine, and two messages

/** Creates the wishes of a host; requests that want the same adapter share one. */
export function createAdapterRequests(send: (message: FleetMessage) => boolean): AdapterRequests {
  const grants = new Map<number, (grant: AdapterGrant | undefined) => void>();
  const asked = new Map<string, Promise<AdapterGrant | undefined>>();
  let nextId = 0;

  const sendWish = (wish: AdapterRequest): Promise<AdapterGrant | undefined> =>
    new Promise((resolve) => {
      nextId += 1;
      const id = nextId;
      const finish = (grant: AdapterGrant | undefined): void => {
        clearTimeout(timer);
        grants.delete(id);
        resolve(grant);
      };
      const timer = setTimeout(() => finish(undefined), GRANT_MS);
      grants.set(id, finish);
      const { model, adapter, servers, missing } = wish;
      const message = { id, model, adapter, servers: [...servers], missing: [...missing] };
      if (!send({ type: 'wish', ...message })) finish(undefined);
    });

  return {
    request: (wish) => {
      const key = `${wish.model}/${wish.adapter}`;
      const known = asked.get(key);
      if (known !== undefined) return known;
      const wanted = sendWish(wish).finally(() => asked.delete(key));
      asked.set(key, wanted);
      return wanted;
    },
    settle: ({ id, server, readyInMs }) =>
      grants.get(id)?.(server === undefined ? undefined : { server, readyInMs }),
  };
}
