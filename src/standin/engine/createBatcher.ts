import { setTimeout as wait } from 'node:timers/promises';

/** Batch size, latencies and prefix cache size of an engine stand-in. */
export interface BatcherOptions {
  /** Maximum number of requests that run concurrently. */
  batchSize: number;
  /** Milliseconds per generated token without load; the time grows by up to a quarter as the batch fills. */
  tokenMs: number;
  /** Milliseconds to process a prompt whose prefix is not cached. */
  promptMs: number;
  /** Capacity of the prefix cache in prompt prefixes. */
  cachedPrefixes: number;
}

/** One event of the prefix cache; numbers have gaps, since some events are never published. */
export interface CacheEvent {
  number: number;
  type: 'stored' | 'evicted';
  prefix: string;
}

/** Simplified continuous batching with a prefix cache of limited size. */
export interface Batcher {
  /**
   * Waits until the batch has room, lowest priority number first, and then for the prompt to be
   * processed. Returns a function that removes the request from the batch.
   */
  start: (prefix: string, priority: number) => Promise<() => void>;
  waitForToken: () => Promise<void>;
  countRunning: () => number;
  countWaiting: () => number;
  listCacheEvents: (after: number) => CacheEvent[];
  countCacheHits: () => number;
}

const MAX_KEPT_EVENTS = 200;
/** Every n-th cache event is never published, to simulate lost events. */
const UNPUBLISHED_EVENT_INTERVAL = 7;
/** Ratio of the prompt time that remains when the prefix is cached. */
const CACHED_PROMPT_TIME_RATIO = 0.2;

interface QueuedRequest {
  priority: number;
  number: number;
  start: () => void;
}

/** Creates a batcher with an empty queue and cache. */
export function createBatcher(options: BatcherOptions): Batcher {
  const { batchSize, tokenMs, promptMs, cachedPrefixes } = options;
  const cache = new Map<string, true>();
  const queue: QueuedRequest[] = [];
  let running = 0;
  let startCount = 0;
  let hitCount = 0;
  let eventCount = 0;
  let events: CacheEvent[] = [];

  const recordEvent = (type: CacheEvent['type'], prefix: string): void => {
    eventCount += 1;
    if (eventCount % UNPUBLISHED_EVENT_INTERVAL === 0) return;
    events = [...events, { number: eventCount, type, prefix }].slice(-MAX_KEPT_EVENTS);
  };

  const cachePrefix = (prefix: string): boolean => {
    const isHit = cache.delete(prefix);
    cache.set(prefix, true);
    if (isHit) hitCount += 1;
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
    queue.sort((one, other) => one.priority - other.priority || one.number - other.number);
    const next = queue.shift();
    if (next === undefined) return;
    running += 1;
    next.start();
  };

  return {
    start: async (prefix, priority) => {
      startCount += 1;
      const number = startCount;
      await new Promise<void>((resolve) => {
        queue.push({ priority, number, start: resolve });
        startNext();
      });
      await wait(cachePrefix(prefix) ? promptMs * CACHED_PROMPT_TIME_RATIO : promptMs);
      let isRemoved = false;
      return () => {
        if (isRemoved) return;
        isRemoved = true;
        running -= 1;
        startNext();
      };
    },
    waitForToken: () => wait(tokenMs * (1 + running / (4 * batchSize))),
    countRunning: () => running,
    countWaiting: () => queue.length,
    listCacheEvents: (after) => events.filter(({ number }) => number > after),
    countCacheHits: () => hitCount,
  };
}
