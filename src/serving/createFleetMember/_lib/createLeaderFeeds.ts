import type { Clock } from '../../../ports/clock.js';
import type { LeaderFeed } from '../../watchPrefix/index.js';

/** The feeds by which this host learns from the leader what it would otherwise read from the store. */
export interface LeaderFeeds {
  /** Feed of the configuration and the evacuations; ends as well when the latter have become too old. */
  changes: LeaderFeed;
  /** Feed of the servers; ends as well when the list of servers has become too old. */
  servers: LeaderFeed;
  /** Feed of the leadership; never active on a standby. */
  leadership: LeaderFeed;
  /** Milliseconds since the last view; Infinity before the first one. */
  getViewAgeMs: () => number;
  /** Records that a leader has connected; its first view follows. */
  recordLeader: () => void;
  recordView: (view: { isCurrent: boolean; isStandby: boolean }) => void;
  setLeading: (isLeading: boolean) => void;
  /** Resumes the tasks whose feed has ended; to be called regularly. */
  resumeWaiters: () => void;
  /** Resumes all tasks. */
  close: () => void;
}

/** Options of the feeds. */
export interface LeaderFeedsOptions {
  clock: Clock;
  /** Time without a view after which a feed ends. */
  feedTimeoutMs: number;
  /** Time without a view of a leader with current watches after which a feed ends. */
  outdatedFeedMs: number;
  /** Age of the list of servers, or of the evacuations, from which this host reads it itself. */
  maximumListAgeMs: number;
  /** Milliseconds since the list of servers was complete. */
  getListAgeMs: () => number;
  /** Milliseconds since the set of evacuated data centres was complete; 0 by default. */
  getEvacuationsAgeMs?: () => number;
  /** Time after the start during which a feed counts as active, as a leader may connect any moment. */
  startGraceMs: number;
  /** The same for the leadership; 0 on a host that is to run for leader at once. */
  leadershipGraceMs: number;
}

/** Creates the feeds of a host that has just started. */
export function createLeaderFeeds(options: LeaderFeedsOptions): LeaderFeeds {
  const { clock, feedTimeoutMs, outdatedFeedMs, startGraceMs, leadershipGraceMs } = options;
  const { maximumListAgeMs, getListAgeMs, getEvacuationsAgeMs = () => 0 } = options;
  const startedAtMs = clock.monotonicMs();
  const waiters = new Set<{ isFeedActive: () => boolean; resume: () => void }>();
  let isLeading = false;
  let isStandby = false;
  let wasFed = false;
  let viewAtMs = -Infinity;
  /** When the last view arrived whose sender had current store watches. */
  let currentViewAtMs = -Infinity;
  let leaderAtMs = -Infinity;

  const isFed = (): boolean => {
    if (isLeading || !wasFed) return false;
    const nowMs = clock.monotonicMs();
    const isCurrent = viewAtMs === currentViewAtMs || nowMs - currentViewAtMs < outdatedFeedMs;
    return isCurrent && nowMs - viewAtMs < feedTimeoutMs;
  };
  const isStarting = (graceMs: number): boolean => {
    const nowMs = clock.monotonicMs();
    const isAwaitingView = nowMs - leaderAtMs < feedTimeoutMs;
    return !isLeading && !wasFed && (isAwaitingView || nowMs - startedAtMs < graceMs);
  };
  const resumeWaiters = (isClosing = false): void => {
    for (const waiter of [...waiters]) {
      if (!isClosing && waiter.isFeedActive()) continue;
      waiters.delete(waiter);
      waiter.resume();
    }
  };
  const createFeed = (isFeedActive: () => boolean, isWatcher: () => boolean): LeaderFeed => ({
    isFeedActive,
    waitUntilFeedEnds: () =>
      isFeedActive()
        ? new Promise((resolve) => waiters.add({ isFeedActive, resume: resolve }))
        : Promise.resolve(),
    isWatcher,
  });

  return {
    changes: createFeed(
      () => (isFed() && getEvacuationsAgeMs() < maximumListAgeMs) || isStarting(startGraceMs),
      () => isLeading,
    ),
    servers: createFeed(
      () => (isFed() && getListAgeMs() < maximumListAgeMs) || isStarting(startGraceMs),
      () => isLeading,
    ),
    leadership: createFeed(
      () => !isStandby && (isFed() || isStarting(leadershipGraceMs)),
      () => isLeading || isStandby,
    ),
    getViewAgeMs: () => clock.monotonicMs() - viewAtMs,
    recordLeader: () => {
      leaderAtMs = clock.monotonicMs();
    },
    recordView: (view) => {
      viewAtMs = clock.monotonicMs();
      isStandby = view.isStandby;
      if (view.isCurrent) {
        currentViewAtMs = viewAtMs;
        wasFed = true;
      }
      resumeWaiters();
    },
    setLeading: (next) => {
      isLeading = next;
      currentViewAtMs = -Infinity;
      resumeWaiters();
    },
    resumeWaiters,
    close: () => resumeWaiters(true),
  };
}
