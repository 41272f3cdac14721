import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { KeyValueServiceError } from '../../errors/index.js';
import type { KeyValueEntry, KeyValueService } from '../../ports/keyValueService.js';

/** Write ids that a value keeps, so that a writer whose answer was lost finds its own. */
const KEPT_WRITE_IDS = 64;
const DEFAULT_ATTEMPTS = 10;
const DEFAULT_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 500;

/** A value with the ids of its last writes. */
interface Stored<Body> {
  writes: string[];
  body: Body;
}

/** A change of a value: what to write, if anything, and what to return. */
export interface ValueChange<Body, Result> {
  /** Left out when nothing is to be written. */
  body?: Body;
  result: Result;
}

/** Options of an update by compare-and-swap. */
export interface UpdateValueOptions<Body> {
  /** Entry that the caller already knows; saves a read, may be out of date. */
  cachedEntry?: KeyValueEntry;
  /** Calls after which the update is given up; 10 by default. */
  attempts?: number;
  /** First pause in milliseconds after a call failed; doubles up to half a second; 20 by default. */
  backoffMs?: number;
  /** Reads a stored body; throws when it is not one. */
  parse?: (body: unknown) => Body;
  /** Called right before each write; false gives the update up. */
  isWriteAllowed?: () => boolean;
}

/** An update that took effect, or needed no write. */
export interface UpdatedValue<Body, Result> {
  result: Result;
  body: Body | undefined;
  /** Entry as now known; left out while the key is absent. */
  entry: KeyValueEntry | undefined;
}

/** Parses a stored value; undefined when the key is absent. */
export function parseStored<Body>(
  entry: KeyValueEntry | undefined,
  parse: (body: unknown) => Body = (body) => body as Body,
): Body | undefined {
  if (entry === undefined) return undefined;
  return parse((JSON.parse(entry.value) as Stored<unknown>).body);
}

function parseWrites(entry: KeyValueEntry | undefined): string[] {
  return entry === undefined ? [] : (JSON.parse(entry.value) as Stored<unknown>).writes;
}

/**
 * Changes one value by compare-and-swap. A write whose answer was lost is resolved by reading back:
 * the write id decides whether it took effect. Rejects with KeyValueServiceError when that can't be
 * found out; the write may then have taken effect.
 */
export async function updateValue<Body, Result>(
  service: KeyValueService,
  key: string,
  change: (body: Body | undefined) => ValueChange<Body, Result>,
  options: UpdateValueOptions<Body> = {},
): Promise<UpdatedValue<Body, Result>> {
  const { attempts = DEFAULT_ATTEMPTS, backoffMs = DEFAULT_BACKOFF_MS, parse } = options;
  const { isWriteAllowed = () => true } = options;
  const writeId = randomUUID();
  let entry = options.cachedEntry;
  let isEntryKnown = entry !== undefined;
  let pending: ValueChange<Body, Result> | undefined;
  let lastError: unknown;
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    if (attempt > 0 && lastError !== undefined)
      await wait(Math.min(MAX_BACKOFF_MS, backoffMs * 2 ** attempt));
    try {
      if (!isEntryKnown) entry = await service.get(key);
      isEntryKnown = true;
      lastError = undefined;
      if (pending?.body !== undefined && parseWrites(entry).includes(writeId))
        return { result: pending.result, body: pending.body, entry };
      pending = change(parseStored(entry, parse));
      if (pending.body === undefined)
        return { result: pending.result, body: parseStored(entry, parse), entry };
      if (!isWriteAllowed()) throw new KeyValueServiceError(`the right to write ${key} has ended`);
      const writes = [...parseWrites(entry), writeId].slice(-KEPT_WRITE_IDS);
      const value = JSON.stringify({ writes, body: pending.body });
      isEntryKnown = false;
      const swap = await service.compareAndSwap(key, entry?.revision ?? 0, value);
      if (swap.swapped)
        return {
          result: pending.result,
          body: pending.body,
          entry: { value, revision: swap.revision },
        };
      entry = swap.current;
      isEntryKnown = true;
    } catch (error) {
      lastError = error;
      if (!isWriteAllowed()) break;
    }
  }
  throw new KeyValueServiceError(`the update of ${key} did not come to an end`, {
    cause: lastError,
  });
}
