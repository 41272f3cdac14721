import { setTimeout as wait } from 'node:timers/promises';
import { WATCH_WAIT_MS } from '../../decisions/command/isFeedCurrent/index.js';
import { isAborted } from '../../common/isAborted.js';
import { formatError } from '../../errors/index.js';
import type { FleetStore, StoreChange, StoreItem } from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';

/** Somebody else who brings changes, so that the store can be left alone. */
export interface StoreFeed {
  isFed: () => boolean;
  /** Settles once nobody brings them. */
  waitUntilUnfed: () => Promise<void>;
}

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
  onReachable?: (isReachable: boolean) => void;
  /** Called with each answer of the store. */
  onAnswer: () => void;
  feed: StoreFeed;
}

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
  const { store, prefix, log, signal, pauseMs, onItems, onChanges, onReachable, feed } = options;
  let revision: number | undefined;
  let isReachable: boolean | undefined;
  const setReachable = (next: boolean, error?: unknown): void => {
    if (isReachable === next) return;
    isReachable = next;
    if (next) log.info({ prefix, revision }, 'store reached');
    else log.warn({ prefix, revision, error: formatError(error) }, 'store lost');
    onReachable?.(next);
  };
  let isFed = false;
  let pausedMs = 0;
  const setFed = (next: boolean): void => {
    if (isFed === next) return;
    isFed = next;
    log.info(
      { prefix, revision },
      next ? 'changes come from the holder of the command' : 'changes are watched in the store',
    );
  };
  while (!isAborted(signal)) {
    if (feed.isFed()) {
      setFed(true);
      revision = undefined;
      await feed.waitUntilUnfed();
      continue;
    }
    setFed(false);
    try {
      if (revision === undefined) {
        const listed = await listAll(store, prefix);
        revision = listed.revision;
        setReachable(true);
        options.onAnswer();
        onItems(listed.items);
      }
      // A pause counts as waiting, so that answers come as often as the holder's feed needs them.
      const seen = await store.watch(prefix, revision, WATCH_WAIT_MS - pausedMs, signal);
      pausedMs = 0;
      setReachable(true);
      options.onAnswer();
      if (seen === undefined) {
        log.warn({ prefix, revision }, 'history of the store is gone, listing anew');
        revision = undefined;
        continue;
      }
      if (seen.changes.length > 0) onChanges(seen.changes);
      revision = seen.revision;
      if (seen.changes.length === 0) continue;
      pausedMs = pauseMs;
      await wait(pauseMs, undefined, { signal });
    } catch (error) {
      if (isAborted(signal)) return;
      setReachable(false, error);
      await wait(RETRY_MS, undefined, { signal }).catch(() => undefined);
    }
  }
}
