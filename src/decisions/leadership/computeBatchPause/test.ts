import t from 'tap';
import { computeBatchPause } from './index.js';

const INTERVAL_MS = 500;

/** Counts the reads in ten seconds in which changes come at the given interval. */
function countReads(changeIntervalMs: number): number {
  let usedUntilMs = -Infinity;
  let reads = 0;
  let nowMs = 0;
  while (nowMs < 10_000) {
    nowMs = Math.ceil((nowMs + 1) / changeIntervalMs) * changeIntervalMs;
    reads += 1;
    const pause = computeBatchPause(usedUntilMs, nowMs, INTERVAL_MS);
    usedUntilMs = pause.usedUntilMs;
    nowMs += pause.pauseMs;
  }
  return reads;
}

t.test('a change that comes alone, and the one after it, are read at once', (t) => {
  const first = computeBatchPause(-Infinity, 1000, INTERVAL_MS);
  t.equal(first.pauseMs, 0);
  const second = computeBatchPause(first.usedUntilMs, 1010, INTERVAL_MS);
  t.equal(second.pauseMs, 490);
  t.end();
});

t.test('many changes cost one read in each interval, and one more', (t) => {
  t.ok(countReads(10) <= 22);
  t.ok(countReads(2000) <= 6, 'few changes cost one read each');
  t.end();
});
