import type { IncomingMessage } from 'node:http';
import { hashKey } from '../../../decisions/keys/hashKey/index.js';
import type { Caller, EntryContext } from '../types.js';
import { createRefusal } from './refusals.js';

const BEARER = /^Bearer +(\S+)$/i;

/** Finds who a key belongs to by its digest; rejects what has no key, or one that does not count. */
export function checkKey(
  { controlState, isInContact }: EntryContext,
  incoming: IncomingMessage,
): Caller {
  const key = BEARER.exec(incoming.headers.authorization ?? '')?.[1];
  if (key === undefined)
    throw createRefusal(401, 'key_missing', 'send a key as "Authorization: Bearer KEY"');
  if (!isInContact())
    throw createRefusal(503, 'out_of_touch', 'this host can not check keys at the moment', 1);
  const { accepted, keyIndex } = controlState.get();
  const keyDigest = hashKey(key);
  const name = keyIndex.get(keyDigest);
  const organisation = accepted?.bundle.organisations.find((item) => item.name === name);
  if (organisation === undefined)
    throw createRefusal(401, 'key_unknown', 'the key is unknown or was withdrawn');
  return { organisation, keyDigest, key };
}

/** Tells whether a caller's key still belongs to its organisation. */
export function isKeyValid({ controlState, isInContact }: EntryContext, caller: Caller): boolean {
  return (
    isInContact() && controlState.get().keyIndex.get(caller.keyDigest) === caller.organisation.name
  );
}

/** Refuses a request that carries its key where a backend server would see it. */
export function checkKeyNotExposed(caller: Caller, pathAndQuery: string, body: Buffer): void {
  const places = [pathAndQuery, decodeLeniently(pathAndQuery)];
  if (places.some((place) => place.includes(caller.key)) || body.includes(caller.key))
    throw createRefusal(400, 'key_exposed', 'the key must only stand in the Authorization header');
}

function decodeLeniently(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
