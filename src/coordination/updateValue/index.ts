import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { KeyValueServiceError } from '../../errors/index.js';
import type { KeyValueEntry, KeyValueService } from '../../ports/keyValueService.js';

/** Latest write ids stored with a value, by which a writer whose response was lost detects its own write. */
const MAX_STORED_WRITE_IDS = 64;
const DEFAULT_MAX_ATTEMPTS = 10;
const DEFAULT_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 500;

/** Stored form of a value, with the ids of its latest writes. */
interface StoredValue<Body> {
  writes: string[];
  body: Body;
}

/** Result of a change function: the new body, if any, and the value to return. */
export interface ValueChange<Body, Result> {
  /** Omitted when nothing has to be written. */
  body?: Body;
  result: Result;
}

/** Options of updateValue. */
export interface UpdateValueOptions<Body> {
  /** Entry cached by the caller; saves a read and may be stale. */
  cachedEntry?: KeyValueEntry;
  /** Maximum number of attempts; 10 by default. */
  attempts?: number;
  /** Base of the exponential backoff after failed calls, capped at 500 ms; 20 ms by default. */
  backoffMs?: number;
  /** Validates a stored body; throws when it is malformed. */
  parse?: (body: unknown) => Body;
  /** Checked right before each write; the update rejects when it returns false. */
  isWriteAllowed?: () => boolean;
}

/** Outcome of an update that was written or needed no write. */
export interface UpdatedValue<Body, Result> {
  result: Result;
  body: Body | undefined;
  /** Latest known entry; undefined while the key is absent. */
  entry: KeyValueEntry | undefined;
}

/** Parses the body of a stored value; undefined when the key is absent. */
export function parseStored<Body>(
  entry: KeyValueEntry | undefined,
  parse: (body: unknown) => Body = (body) => body as Body,
): Body | undefined {
  if (entry === undefined) return undefined;
  return parse((JSON.parse(entry.value) as StoredValue<unknown>).body);
}

function parseWriteIds(entry: KeyValueEntry | undefined): string[] {
  return entry === undefined ? [] : (JSON.parse(entry.value) as StoredValue<unknown>).writes;
}

/**
 * Updates one value by compare-and-swap, with retries. `change` may run several times, each on the
 * latest known body. After a lost response the value is read back: it contains the write id if the
 * write took effect. Only the last 64 ids are kept, so that after 64 later writes by others the
 * change is applied again. Rejects with KeyValueServiceError when all attempts failed or
 * `isWriteAllowed` returned false; if a response was lost, the write may have taken effect.
 */
export async function updateValue<Body, Result>(
  service: KeyValueService,
  key: string,
  change: (body: Body | undefined) => ValueChange<Body, Result>,
  options: UpdateValueOptions<Body> = {},
): Promise<UpdatedValue<Body, Result>> {
  const { attempts = DEFAULT_MAX_ATTEMPTS, backoffMs = DEFAULT_BACKOFF_MS, parse } = options;
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
      if (pending?.body !== undefined && parseWriteIds(entry).includes(writeId))
        return { result: pending.result, body: pending.body, entry };
      pending = change(parseStored(entry, parse));
      if (pending.body === undefined)
        return { result: pending.result, body: parseStored(entry, parse), entry };
      if (!isWriteAllowed()) throw new KeyValueServiceError(`write to ${key} is no longer allowed`);
      const writes = [...parseWriteIds(entry), writeId].slice(-MAX_STORED_WRITE_IDS);
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
  throw new KeyValueServiceError(`update of ${key} failed or has an unknown outcome`, {
    cause: lastError,
  });
}
