import { setTimeout as sleep } from 'node:timers/promises';
import { computeBatchPause } from '../../decisions/leadership/computeBatchPause/index.js';
import { computeBackoffMs } from '../../decisions/leadership/computeBackoffMs/index.js';
import { createPause, type Pause } from '../../common/createPause.js';
import { isAborted } from '../../common/isAborted.js';
import { addMilliseconds, computeElapsedMs, readMoment, type Moment } from '../../common/moment.js';
import { decodeRevision } from '../../decisions/storeEpochs/decodeRevision/index.js';
import { formatError, KeyValueServiceError } from '../../errors/index.js';
import type { Clock } from '../../ports/clock.js';
import type { FleetStore, StoreChange, StoreItem } from '../../ports/fleetStore.js';
import type { Log } from '../../ports/log.js';
import type { StoreOutage } from '../createStoreOutage/index.js';

/** Tells whether the leader passes store changes on; if so, this host need not watch the store. */
export interface LeaderFeed {
  /** Whether the leader passes changes on at present. */
  isFeedActive: () => boolean;
  /** Settles once the leader no longer passes changes on. */
  waitUntilFeedEnds: () => Promise<void>;
  /** Whether other hosts depend on what this host reads, as on the leader and its standbys. */
  isWatcher: () => boolean;
}

/** Options of watching a key prefix of the store. */
export interface WatchPrefixOptions {
  store: FleetStore;
  prefix: string;
  clock: Clock;
  log: Log;
  signal: AbortSignal;
  /** Timeout of one watch. */
  watchTimeoutMs: number;
  /** Interval in which frequent changes are batched; a change that comes alone is not delayed. */
  pauseMs: number;
  random: () => number;
  /** Whether a host on which no other depends repeats the list instead of watching; false by default. */
  isWatchOptional?: boolean;
  /**
   * Whether a host on which no other depends leaves further tries in an outage to another of its
   * tasks; false by default.
   */
  mayWaitForOthers?: boolean;
  /** Mean of the longest time between two tries of a host on which no other depends; 2000 by default. */
  maximumBackoffMs?: number;
  /** Pause between lists and after failures; ending it makes the next call at once. */
  pause?: Pause;
  /**
   * Called with all items, at the start and whenever changes may have been missed, and the revision
   * of the store up to which they are complete.
   */
  onSnapshot: (items: StoreItem[], revision: number) => void;
  /** Called in the same way with the changes since the snapshot or the previous call. */
  onChanges: (changes: StoreChange[], revision: number) => void;
  /** Called after each successful response of the store, before what it tells is passed on. */
  onStoreResponse?: () => void;
  /** Called with the moment up to which all changes are known, after these were passed on. */
  onComplete?: (asOf: Moment) => void;
  feed: LeaderFeed;
  /** Shared by all tasks of the host that watch the store. */
  outage: StoreOutage;
}

// A kept connection that the store has closed meanwhile fails the first call, and the host's state is
// as old as its limit allows when its feed has ended.
const MAX_FIRST_RETRY_MS = 50;
const FIRST_RELIST_MS = 600; // a new leader has connected by then in most cases
// Calls to an unavailable store are billed, too. The hosts on which others depend retry more often.
const WATCHER_BACKOFF = { firstMs: 300, maximumMs: 1000 };
const FIRST_BACKOFF_MS = 800;

/**
 * Computes up to which moment the response to a watch tells of all changes: the store holds back one
 * without changes for the whole wait, and may have sent any other at once.
 */
function computeCompleteAsOf(
  askedAt: Moment,
  now: Moment,
  waitMs: number,
  changes: number,
): Moment {
  const wasHeldBack = changes === 0 && computeElapsedMs(askedAt, now) >= waitMs;
  return wasHeldBack ? addMilliseconds(askedAt, waitMs) : askedAt;
}

async function listAll(
  store: FleetStore,
  prefix: string,
): Promise<{ items: StoreItem[]; revision: number }> {
  const first = await store.list(prefix);
  const items = [...first.items];
  let page = first;
  while (page.hasMore) {
    page = await store.list(prefix, items[items.length - 1]?.key);
    if (decodeRevision(page.revision).epoch !== decodeRevision(first.revision).epoch)
      throw new KeyValueServiceError(`store was restored while ${prefix} was listed`);
    items.push(...page.items);
  }
  // Pages are not a consistent snapshot: the watch repeats the changes made since the first page.
  return { items, revision: first.revision };
}

/**
 * Watches a key prefix until the signal aborts: lists it, then watches for changes, and lists again
 * when the store no longer has the history. Pauses while the leader passes changes on. Where a watch
 * is optional, a host on which no other depends repeats the list with backoff instead: hundreds of
 * watches would each be woken by every change.
 */
export async function watchPrefix(options: WatchPrefixOptions): Promise<void> {
  const { store, prefix, clock, log, signal, watchTimeoutMs, pauseMs, random } = options;
  const { onSnapshot, onChanges, feed, isWatchOptional = false, pause = createPause() } = options;
  const { outage, onComplete = () => undefined } = options;
  const { mayWaitForOthers = false, maximumBackoffMs = 2000 } = options;
  let revision: number | undefined;
  let isReachable: boolean | undefined;
  const setReachable = (next: boolean, error?: unknown): void => {
    if (next) outage.recordResponse();
    if (isReachable === next) return;
    isReachable = next;
    if (next) log.info({ prefix, revision }, 'store reachable');
    else log.warn({ prefix, revision, error: formatError(error) }, 'store unreachable');
  };
  let isFollowingFeed = false;
  let pausedMs = 0;
  let batchUsedUntilMs = -Infinity;
  let failures = 0;
  let lists = 0;
  const setFollowingFeed = (next: boolean): void => {
    if (isFollowingFeed === next) return;
    isFollowingFeed = next;
    log.info(
      { prefix, revision },
      next ? 'switched to store changes passed on by the leader' : 'switched to watching the store',
    );
  };
  const waitForRetry = async (askedAt: Moment): Promise<void> => {
    const isTrying = outage.recordFailure({
      task: prefix,
      askedAtMs: askedAt.monotonicMs,
      mayWaitForOthers,
    });
    if (failures === 1) {
      await pause.wait(random() * MAX_FIRST_RETRY_MS, signal);
      return;
    }
    const backoff = feed.isWatcher()
      ? WATCHER_BACKOFF
      : { firstMs: FIRST_BACKOFF_MS, maximumMs: maximumBackoffMs };
    const triedMs = computeElapsedMs(askedAt, readMoment(clock));
    const backoffMs = computeBackoffMs(failures, random(), backoff) - triedMs;
    const isWaiting = !isTrying && !feed.isWatcher();
    await outage.waitForEnd(pause, isWaiting ? Infinity : Math.max(0, backoffMs), signal);
  };
  while (!isAborted(signal)) {
    if (feed.isFeedActive()) {
      setFollowingFeed(true);
      revision = undefined;
      lists = 0;
      await feed.waitUntilFeedEnds();
      continue;
    }
    setFollowingFeed(false);
    let askedAt = readMoment(clock);
    try {
      if (revision === undefined) {
        const listed = await listAll(store, prefix);
        revision = listed.revision;
        setReachable(true);
        options.onStoreResponse?.();
        lists += 1;
        failures = 0;
        onSnapshot(listed.items, listed.revision);
        onComplete(askedAt);
      }
      if (isWatchOptional && !feed.isWatcher()) {
        await pause.wait(computeBackoffMs(lists, random(), { firstMs: FIRST_RELIST_MS }), signal);
        if (!feed.isWatcher()) revision = undefined;
        continue;
      }
      // The pause is deducted from the watch timeout, so that the store responds often enough for the
      // leader to count its watch as current.
      askedAt = readMoment(clock);
      const waitMs = watchTimeoutMs - pausedMs;
      const watched = await store.watch(prefix, revision, waitMs, signal);
      pausedMs = 0;
      failures = 0;
      setReachable(true);
      options.onStoreResponse?.();
      if (watched === undefined) {
        log.warn({ prefix, revision }, 'watch history no longer available, listing again');
        revision = undefined;
        continue;
      }
      if (watched.changes.length > 0) onChanges(watched.changes, watched.revision);
      onComplete(computeCompleteAsOf(askedAt, readMoment(clock), waitMs, watched.changes.length));
      revision = watched.revision;
      if (watched.changes.length === 0) continue;
      const batch = computeBatchPause(batchUsedUntilMs, clock.monotonicMs(), pauseMs);
      batchUsedUntilMs = batch.usedUntilMs;
      const untilTimeoutMs = watchTimeoutMs - computeElapsedMs(askedAt, readMoment(clock));
      // The store takes whole milliseconds.
      pausedMs = Math.floor(Math.min(batch.pauseMs, Math.max(0, untilTimeoutMs)));
      await sleep(pausedMs, undefined, { signal });
    } catch (error) {
      if (isAborted(signal)) return;
      setReachable(false, error);
      failures += 1;
      await waitForRetry(askedAt);
    }
  }
}
