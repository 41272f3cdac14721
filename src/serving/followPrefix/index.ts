import { setTimeout as wait } from 'node:timers/promises';
import { WATCH_WAIT_MS } from '../../decisions/command/isFeedCurrent/index.js';
import { isAborted } from '../../common/isAborted.js';
import { formatError } from '../../errors/index.js';
import type { FleetStore, StoreChange, StoreItem } from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';

/** Options of following a prefix of the store. */
export interface FollowPrefixOptions {
  store: FleetStore;
  prefix: string;
  log: Log;
  signal: AbortSignal;
  /** Pause between two watches, so that frequent changes come together. */
  pauseMs: number;
  /** Takes all items, at the start and whenever changes may have been missed. */
  onItems: (items: StoreItem[]) => void;
  onChanges: (changes: StoreChange[]) => void;
  /** The store was lost, or is back. */
  onReachable: (isReachable: boolean) => void;
  /** Called after each call with whether the store answered it. */
  onAnswer?: (isAnswered: boolean) => void;
  /** While true somebody else brings the changes, and the store is left alone. */
  isFed?: () => boolean;
}

const FED_POLL_MS = 100; // half a round of the fleet's figures
const RETRY_MS = 300; // calls to a store that is away are paid too

async function listAll(
  store: FleetStore,
  prefix: string,
): Promise<{ items: StoreItem[]; revision: number }> {
  const first = await store.list(prefix);
  const items = [...first.items];
  let page = first;
  while (page.hasMore) {
    page = await store.list(prefix, items[items.length - 1]?.key);
    items.push(...page.items);
  }
  // Pages are not a snapshot: changes since the first one come again through the watch.
  return { items, revision: first.revision };
}

/** Follows a prefix until the signal aborts: lists it, then watches, and lists anew when history is gone. */
export async function followPrefix(options: FollowPrefixOptions): Promise<void> {
  const { store, prefix, log, signal, pauseMs, onItems, onChanges, onReachable } = options;
  let revision: number | undefined;
  let isReachable: boolean | undefined;
  const setReachable = (next: boolean, error?: unknown): void => {
    if (isReachable === next) return;
    isReachable = next;
    if (next) log.info({ prefix, revision }, 'store reached');
    else log.warn({ prefix, revision, error: formatError(error) }, 'store lost');
    onReachable(next);
  };
  while (!isAborted(signal)) {
    if (options.isFed?.() === true) {
      revision = undefined;
      await wait(FED_POLL_MS, undefined, { signal }).catch(() => undefined);
      continue;
    }
    try {
      if (revision === undefined) {
        const listed = await listAll(store, prefix);
        revision = listed.revision;
        setReachable(true);
        options.onAnswer?.(true);
        onItems(listed.items);
      }
      const seen = await store.watch(prefix, revision, WATCH_WAIT_MS, signal);
      setReachable(true);
      options.onAnswer?.(true);
      if (seen === undefined) {
        log.warn({ prefix, revision }, 'history of the store is gone, listing anew');
        revision = undefined;
        continue;
      }
      if (seen.changes.length > 0) onChanges(seen.changes);
      revision = seen.revision;
      if (seen.changes.length > 0) await wait(pauseMs, undefined, { signal });
    } catch (error) {
      if (isAborted(signal)) return;
      options.onAnswer?.(false);
      setReachable(false, error);
      await wait(RETRY_MS, undefined, { signal }).catch(() => undefined);
    }
  }
}
