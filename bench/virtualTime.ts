import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Clock } from '#dist/ports/clock.js';

/** Time that moves only when nothing is left to do at the present moment. */
export interface VirtualTime {
  clock: Clock;
  wait: (milliseconds: number) => Promise<void>;
  /** Runs until the given moment, or until the promise settles. */
  runUntil: (atMs: number) => Promise<void>;
}

interface Timer {
  atMs: number;
  number: number;
  fire: () => void;
}

/** Turns of the event loop in which promises that depend on one another settle. */
const SETTLING_TURNS = 2;

/** Creates a virtual time that begins at 0. */
export function createVirtualTime(): VirtualTime {
  let nowMs = 0;
  let count = 0;
  const timers: Timer[] = [];

  const isBefore = (one: Timer, other: Timer): boolean =>
    one.atMs < other.atMs || (one.atMs === other.atMs && one.number < other.number);

  const push = (timer: Timer): void => {
    let index = timers.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = timers[parent];
      if (above === undefined || !isBefore(timer, above)) break;
      timers[index] = above;
      index = parent;
    }
    timers[index] = timer;
  };

  const pop = (): Timer | undefined => {
    const [first] = timers;
    const last = timers.pop();
    if (first === undefined || last === undefined || timers.length === 0) return first;
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
    return first;
  };

  return {
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    wait: (milliseconds) =>
      new Promise((resolve) => {
        count += 1;
        push({ atMs: nowMs + Math.max(0, milliseconds), number: count, fire: resolve });
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
