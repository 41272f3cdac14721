import { setTimeout as wait } from 'node:timers/promises';

/** Speeds of an engine stand-in. */
export interface BatcherOptions {
  /** Requests that run at once. */
  batchSize: number;
  /** Milliseconds for each token of one running request; grows slowly with the batch. */
  tokenMs: number;
  /** Milliseconds for the prompt when its prefix is not cached. */
  promptMs: number;
  /** Prompt prefixes that the cache holds. */
  cachedPrefixes: number;
}

/** One cache event; numbers have gaps, since some are never published. */
export interface CacheEvent {
  number: number;
  type: 'stored' | 'evicted';
  prefix: string;
}

/** Continuous batching in simple form, with a prefix cache in limited memory. */
export interface Batcher {
  /** Waits for a place in the batch by priority, then for the prompt; returns what frees the place. */
  start: (prefix: string, priority: number) => Promise<() => void>;
  waitForToken: () => Promise<void>;
  countRunning: () => number;
  countWaiting: () => number;
  listCacheEvents: (after: number) => CacheEvent[];
  countCacheHits: () => number;
}

const KEPT_EVENTS = 200;
/** Each n-th cache event is never published. */
const LOST_EVENT_STEP = 7;
/** Part of a prompt's time that a cached prefix leaves. */
const CACHED_PART = 0.2;

interface Waiter {
  priority: number;
  number: number;
  start: () => void;
}

/** Creates an idle batcher. */
export function createBatcher(options: BatcherOptions): Batcher {
  const { batchSize, tokenMs, promptMs, cachedPrefixes } = options;
  const cache = new Map<string, true>();
  const waiting: Waiter[] = [];
  let running = 0;
  let started = 0;
  let hits = 0;
  let eventCount = 0;
  let events: CacheEvent[] = [];

  const recordEvent = (type: CacheEvent['type'], prefix: string): void => {
    eventCount += 1;
    if (eventCount % LOST_EVENT_STEP === 0) return;
    events = [...events, { number: eventCount, type, prefix }].slice(-KEPT_EVENTS);
  };

  const takePrefix = (prefix: string): boolean => {
    const isHit = cache.delete(prefix);
    cache.set(prefix, true);
    if (isHit) hits += 1;
    else recordEvent('stored', prefix);
    const [oldest] = cache.keys();
    if (cache.size > cachedPrefixes && oldest !== undefined) {
      cache.delete(oldest);
      recordEvent('evicted', oldest);
    }
    return isHit;
  };

  const startNext = (): void => {
    if (running >= batchSize) return;
    waiting.sort((one, other) => one.priority - other.priority || one.number - other.number);
    const next = waiting.shift();
    if (next === undefined) return;
    running += 1;
    next.start();
  };

  return {
    start: async (prefix, priority) => {
      started += 1;
      const number = started;
      await new Promise<void>((resolve) => {
        waiting.push({ priority, number, start: resolve });
        startNext();
      });
      await wait(takePrefix(prefix) ? promptMs * CACHED_PART : promptMs);
      let isFreed = false;
      return () => {
        if (isFreed) return;
        isFreed = true;
        running -= 1;
        startNext();
      };
    },
    waitForToken: () => wait(tokenMs * (1 + running / (4 * batchSize))),
    countRunning: () => running,
    countWaiting: () => waiting.length,
    listCacheEvents: (after) => events.filter(({ number }) => number > after),
    countCacheHits: () => hits,
  };
}
