import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Clock } from '#dist/ports/clock.js';

/** Time that advances to the next timer only when no work is left at the current moment. */
export interface VirtualTime {
  clock: Clock;
  wait: (milliseconds: number) => Promise<void>;
  /** Advances to the given moment and fires the timers due until then. */
  runUntil: (atMs: number) => Promise<void>;
}

interface Timer {
  atMs: number;
  number: number;
  fire: () => void;
}

/** Turns of the event loop after which promises that depend on one another have settled. */
const SETTLING_TURNS = 2;

/** Creates a virtual time that starts at 0. */
export function createVirtualTime(): VirtualTime {
  let nowMs = 0;
  let timerCount = 0;
  const timers: Timer[] = [];

  const isBefore = (one: Timer, other: Timer): boolean =>
    one.atMs < other.atMs || (one.atMs === other.atMs && one.number < other.number);

  /** Adds a timer to the binary heap. */
  const push = (timer: Timer): void => {
    let index = timers.push(timer) - 1;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parentTimer = timers[parentIndex];
      if (parentTimer === undefined || !isBefore(timer, parentTimer)) break;
      timers[index] = parentTimer;
      index = parentIndex;
    }
    timers[index] = timer;
  };

  /** Removes the earliest timer from the binary heap. */
  const pop = (): Timer | undefined => {
    const [earliest] = timers;
    const last = timers.pop();
    if (earliest === undefined || last === undefined || timers.length === 0) return earliest;
    let index = 0;
    for (;;) {
      const left = timers[2 * index + 1];
      const right = timers[2 * index + 2];
      if (left === undefined) break;
      const isRight = right !== undefined && isBefore(right, left);
      const child = isRight ? right : left;
      if (!isBefore(child, last)) break;
      timers[index] = child;
      index = 2 * index + (isRight ? 2 : 1);
    }
    timers[index] = last;
    return earliest;
  };

  return {
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    wait: (milliseconds) =>
      new Promise((resolve) => {
        timerCount += 1;
        push({ atMs: nowMs + Math.max(0, milliseconds), number: timerCount, fire: resolve });
      }),
    runUntil: async (atMs) => {
      for (;;) {
        for (let turn = 0; turn < SETTLING_TURNS; turn += 1) await nextTurn();
        const next = timers[0];
        if (next === undefined || next.atMs > atMs) break;
        nowMs = next.atMs;
        while (timers[0] !== undefined && timers[0].atMs <= nowMs) pop()?.fire();
      }
      nowMs = Math.max(nowMs, atMs);
    },
  };
}
