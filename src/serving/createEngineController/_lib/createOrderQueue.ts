import { computeGrantDelayMs } from '../../../decisions/replicas/computeGrantDelayMs/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { AdapterGrant, GrantWait } from '../../types.js';

/** Tasks of one engine, which takes one order at a time. */
export interface OrderQueue {
  /** Runs a task after all earlier ones. */
  enqueue: <T>(task: () => Promise<T>) => Promise<T>;
  /**
   * Runs a task that loads an adapter, given as `MODEL/ADAPTER`; requests for an adapter that is
   * queued already share its task. Undefined at once if the queue shows that the grant comes after
   * the wait, and without an order once no caller waits any more.
   */
  enqueueLoad: (
    adapter: string,
    wait: GrantWait,
    task: () => Promise<AdapterGrant | undefined>,
  ) => Promise<AdapterGrant | undefined>;
}

const INITIAL_ORDER_MS = 20;
const NEW_ORDER_WEIGHT = 0.2; // about the last five orders count

/** Creates the order queue of an engine. */
export function createOrderQueue(clock: Clock): OrderQueue {
  const loads = new Map<string, { waits: GrantWait[]; grant: Promise<AdapterGrant | undefined> }>();
  let tail: Promise<unknown> = Promise.resolve();
  let waiting = 0;
  let runningSinceMs: number | undefined;
  let usualMs = INITIAL_ORDER_MS;

  const enqueue = <T>(task: () => Promise<T>): Promise<T> => {
    waiting += 1;
    const result = tail.then(async () => {
      waiting -= 1;
      runningSinceMs = clock.monotonicMs();
      try {
        return await task();
      } finally {
        runningSinceMs = undefined;
      }
    });
    tail = result.catch(() => undefined);
    return result;
  };

  const mayBeInTime = ({ untilMs }: GrantWait): boolean => {
    const nowMs = clock.monotonicMs();
    const runningMs = runningSinceMs === undefined ? undefined : nowMs - runningSinceMs;
    return nowMs + computeGrantDelayMs({ waiting, runningMs, usualMs }) <= untilMs;
  };
  const isStillWanted = ({ untilMs, isWanted }: GrantWait): boolean =>
    clock.monotonicMs() < untilMs && isWanted();

  return {
    enqueue,
    enqueueLoad: (adapter, wait, task) => {
      if (!mayBeInTime(wait)) return Promise.resolve(undefined);
      const queued = loads.get(adapter);
      if (queued !== undefined) {
        queued.waits = [...queued.waits.filter(isStillWanted), wait];
        return queued.grant;
      }
      const waits = [wait];
      const load = { waits, grant: Promise.resolve<AdapterGrant | undefined>(undefined) };
      loads.set(adapter, load);
      load.grant = enqueue(async () => {
        if (!load.waits.some(isStillWanted)) return undefined;
        const startedAtMs = clock.monotonicMs();
        const grant = await task();
        if (grant !== undefined)
          usualMs += NEW_ORDER_WEIGHT * (clock.monotonicMs() - startedAtMs - usualMs);
        return grant;
      }).finally(() => loads.delete(adapter));
      return load.grant;
    },
  };
}
