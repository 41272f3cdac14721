import type { IncomingMessage } from 'node:http';
import { hashKey } from '../../../decisions/keys/hashKey/index.js';
import type { Caller, EntryContext } from '../types.js';
import { createRefusal } from './refusals.js';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Finds the caller by its API key; throws when the key is missing, unknown or withdrawn, or cannot be checked. */
export function checkKey(
  { controlState, isInContact }: EntryContext,
  incoming: IncomingMessage,
): Caller {
  const key = BEARER_PATTERN.exec(incoming.headers.authorization ?? '')?.[1];
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

/** Returns whether a caller's key is still valid; false while this host cannot check keys. */
export function isKeyValid({ controlState, isInContact }: EntryContext, caller: Caller): boolean {
  return (
    isInContact() && controlState.get().keyIndex.get(caller.keyDigest) === caller.organisation.name
  );
}

/** Refuses a request whose path, query or body contains its key, which a backend server would see. */
export function checkKeyNotExposed(caller: Caller, pathAndQuery: string, body: Buffer): void {
  const variants = [pathAndQuery, decodeOrKeep(pathAndQuery)];
  if (variants.some((text) => text.includes(caller.key)) || body.includes(caller.key))
    throw createRefusal(400, 'key_exposed', 'the key must only stand in the Authorization header');
}

function decodeOrKeep(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
