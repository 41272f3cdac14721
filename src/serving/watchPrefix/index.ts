import { setTimeout as wait } from 'node:timers/promises';
import { WATCH_TIMEOUT_MS } from '../../decisions/leadership/isEveryWatchCurrent/index.js';
import { isAborted } from '../../common/isAborted.js';
import { formatError } from '../../errors/index.js';
import type { FleetStore, StoreChange, StoreItem } from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';

/** Somebody else who brings changes, so that the store can be left alone. */
export interface LeaderFeed {
  isFeedActive: () => boolean;
  /** Settles once nobody brings them. */
  waitUntilFeedEnds: () => Promise<void>;
}

/** Options of following a prefix of the store. */
export interface WatchPrefixOptions {
  store: FleetStore;
  prefix: string;
  log: Log;
  signal: AbortSignal;
  /** Pause between two watches, so that frequent changes come together. */
  pauseMs: number;
  /** Takes all items, at the start and whenever changes may have been missed. */
  onSnapshot: (items: StoreItem[]) => void;
  onChanges: (changes: StoreChange[]) => void;
  /** The store was lost, or is back. */
  onReachabilityChange?: (isReachable: boolean) => void;
  /** Called with each answer of the store. */
  onStoreResponse: () => void;
  feed: LeaderFeed;
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
export async function watchPrefix(options: WatchPrefixOptions): Promise<void> {
  const { store, prefix, log, signal, pauseMs, onSnapshot, onChanges, onReachabilityChange, feed } =
    options;
  let revision: number | undefined;
  let isReachable: boolean | undefined;
  const setReachable = (next: boolean, error?: unknown): void => {
    if (isReachable === next) return;
    isReachable = next;
    if (next) log.info({ prefix, revision }, 'store reached');
    else log.warn({ prefix, revision, error: formatError(error) }, 'store lost');
    onReachabilityChange?.(next);
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
    if (feed.isFeedActive()) {
      setFed(true);
      revision = undefined;
      await feed.waitUntilFeedEnds();
      continue;
    }
    setFed(false);
    try {
      if (revision === undefined) {
        const listed = await listAll(store, prefix);
        revision = listed.revision;
        setReachable(true);
        options.onStoreResponse();
        onSnapshot(listed.items);
      }
      // A pause counts as waiting, so that answers come as often as the holder's feed needs them.
      const seen = await store.watch(prefix, revision, WATCH_TIMEOUT_MS - pausedMs, signal);
      pausedMs = 0;
      setReachable(true);
      options.onStoreResponse();
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
